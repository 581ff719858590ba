package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// InvalidStatuses are statuses that no final response of HTTP has.
var InvalidStatuses = []string{"000", "099", "600", "999", "1000", "2", "20x", "-20", "+20"}

// StartStatus starts a server whose answers have a status and a body.
func StartStatus(status, body string) (*RawServer, error) {
	return StartRaw(func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" None\r\nConnection: close\r\n\r\n"+body)
		return false
	})
}

// resetDelay is the time in which an upload fills the buffers of its connection.
const resetDelay = 5 * time.Millisecond

// ResettingServer is an HTTP server that answers uploads early and then resets their
// connections.
type ResettingServer struct{ net.Listener }

// StartResetting starts a server on a free port of loopback. It writes an answer after the
// head of a request and resets the connection while the body is still sent.
func StartResetting(answer string) (*ResettingServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ResettingServer{listener}
	go s.accept(answer)
	return s, nil
}

// URL returns the address of the server as a URL.
func (s *ResettingServer) URL() string { return "http://" + s.Addr().String() }

func (s *ResettingServer) accept(answer string) {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, answer)
		time.Sleep(resetDelay)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
