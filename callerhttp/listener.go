package callerhttp

import (
	"net"
	"time"
)

// listener accepts connections as conn, and closes those that are too many without reading
// them. During a drain it accepts those that wait in
// the accept queue and then closes itself.
type listener struct {
	*net.TCPListener
	duty *connDuty
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.duty.isDraining() && !hasPendingConns(l.TCPListener) {
			_ = l.Close() // no connections are accepted even if closing it fails
			return nil, net.ErrClosed
		}
		accepted, err := l.AcceptTCP()
		if err == nil && !l.duty.guard.admit() {
			_ = accepted.Close() // nothing was read, so the client knows that nothing has run
			continue
		}
		if err == nil {
			return newConn(accepted, l.duty), nil
		}
		if !l.duty.isDraining() || !isTimeout(err) {
			return nil, err
		}
		// The drain has woken the accept by a deadline.
		if err := l.SetDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
}
