package main

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
)

// linkState is what a proxy does to the bytes of its connections.
type linkState int32

// States of a link.
const (
	open linkState = iota
	// delayed holds bytes back for linkDelay.
	delayed
	// resetting resets open and new connections.
	resetting
	// silent drops all bytes and keeps connections open.
	silent
	// answersLost drops the bytes towards the caller only.
	answersLost
	// holding holds bytes back until heldDelay after the link is open, and drops those of
	// connections that were reset meanwhile, as a network does that is cut for a time.
	holding
)

const (
	linkDelay = 120 * time.Millisecond
	// holdInterval is the interval at which a closed connection is checked while its bytes
	// are held back.
	holdInterval = 20 * time.Millisecond
	// heldDelay is the time after a cut at which bytes arrive that were sent in it: senders
	// repeat them at growing intervals.
	heldDelay = 600 * time.Millisecond
)

// proxy is a TCP link whose state can be changed while connections are open.
type proxy struct {
	at     string
	target string
	state  atomic.Int32
	// mu protects listener, which is nil while connections are refused.
	mu       sync.Mutex
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
}

// newProxy returns a link to a target at an address.
func newProxy(at, target string) (*proxy, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "free some ports", "proxy cannot listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &proxy{at: l.Addr().String(), target: target, listener: l, ctx: ctx, cancel: cancel}
	p.group.Go(func() { p.accept(l) })
	return p, nil
}

func (p *proxy) address() string { return p.at }

func (p *proxy) set(s linkState) { p.state.Store(int32(s)) }

func (p *proxy) is(s linkState) bool { return linkState(p.state.Load()) == s }

func (p *proxy) close() {
	p.cancel()
	p.stopListening()
	p.group.Wait()
}

// refuse resets all connections and refuses new ones until listen.
func (p *proxy) refuse() {
	p.set(resetting)
	p.stopListening()
}

func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close() // ends accept; there is nothing to do about a failure
	}
	p.listener = nil
}

// listen opens the link.
func (p *proxy) listen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(open)
	if p.listener != nil || p.ctx.Err() != nil {
		return
	}
	l, err := net.Listen("tcp", p.at)
	if err != nil {
		return // the server remains away
	}
	p.listener = l
	p.group.Go(func() { p.accept(l) })
}

func (p *proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(conn.(*net.TCPConn)) })
	}
}

// serve joins a connection to one to the target. A silent link accepts and does
// not connect.
func (p *proxy) serve(in *net.TCPConn) {
	stop := context.AfterFunc(p.ctx, func() { _ = in.Close() })
	defer stop()
	defer func() { _ = in.Close() }()
	if p.is(resetting) {
		_ = in.SetLinger(0)
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := conn.(*net.TCPConn)
	stopOut := context.AfterFunc(p.ctx, func() { _ = out.Close() })
	defer stopOut()
	defer func() { _ = out.Close() }()
	var both conc.WaitGroup
	both.Go(func() { p.copy(out, in, false) })
	both.Go(func() { p.copy(in, out, true) })
	both.Wait()
}

// copy passes bytes on as the state of the link allows.
func (p *proxy) copy(to, from *net.TCPConn, answers bool) {
	buffer := make([]byte, 32<<10)
	var held []byte
	var heldUntil time.Time
	lost := false // a connection does not go on behind bytes that it has lost
	for {
		_ = from.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // a closed connection shows at the read
		n, err := from.Read(buffer)
		if p.is(resetting) {
			_, _ = to.SetLinger(0), from.SetLinger(0)
			_, _ = to.Close(), from.Close()
			return
		}
		if p.is(delayed) && n > 0 {
			time.Sleep(linkDelay)
		}
		ended := err == io.EOF //nolint:errorlint // Read returns it unwrapped
		if p.is(holding) {
			heldUntil = time.Now().Add(heldDelay)
		}
		if (n > 0 || ended) && time.Now().Before(heldUntil) {
			held = append(held, buffer[:n]...)
			if ended && !p.pause() {
				return
			}
			continue
		}
		if len(held) > 0 && !time.Now().Before(heldUntil) && (err == nil || ended || isTimeout(err)) {
			if _, werr := to.Write(held); werr != nil {
				return
			}
			held = nil
		}
		if n > 0 && (p.is(silent) || answers && p.is(answersLost)) {
			lost = true
		}
		if n > 0 && !lost {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() { //nolint:errorlint // the connection's own error is not wrapped
			if p.ctx.Err() != nil {
				return
			}
			continue
		}
		if err != nil {
			if ended {
				_ = to.CloseWrite()
			} else {
				_ = to.SetLinger(0)
				_ = to.Close()
			}
			return
		}
	}
}

// pause waits for a moment, and reports whether the proxy goes on.
func (p *proxy) pause() bool {
	duty.Pause(p.ctx, holdInterval)
	return p.ctx.Err() == nil
}
