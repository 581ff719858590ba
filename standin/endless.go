package standin

import (
	"io"
	"net"
	"net/http"
	"strings"
)

// EndlessAnswer is an answer that repeats a text. It stops after a number of bytes, so that
// a client without a bound accepts it instead of using up the memory of the machine.
type EndlessAnswer struct {
	// Start is sent once, then Repeat until MaxBytes bytes of it were sent, then End.
	Start, Repeat, End string
	// MaxBytes is the size in bytes of the repeated part. It must exceed the bound of the
	// client by more than End completes the answer.
	MaxBytes int
}

// EndlessServer is a server that gives an EndlessAnswer to each request.
type EndlessServer struct {
	*RawServer
	closed chan struct{}
}

// maxAwaitedConnections is the number of closed connections that Closed reports.
const maxAwaitedConnections = 64

// StartEndless starts a server on a free port of loopback.
func StartEndless(answer EndlessAnswer) (*EndlessServer, error) {
	s := &EndlessServer{closed: make(chan struct{}, maxAwaitedConnections)}
	var err error
	s.RawServer, err = StartRaw(func(conn net.Conn, _ *http.Request, _ int) bool {
		answer.writeTo(conn)
		if half, ok := conn.(*net.TCPConn); ok {
			_ = half.CloseWrite() // ends the body of a client without a bound
		}
		_, _ = io.Copy(io.Discard, conn) // ends when the client closes the connection
		s.closed <- struct{}{}
		return false
	})
	return s, err
}

// Closed returns a channel with an element for each connection that its client has closed.
func (s *EndlessServer) Closed() <-chan struct{} { return s.closed }

// chunkBytes is the size in bytes of one write.
const chunkBytes = 4 << 10

func (a EndlessAnswer) writeTo(conn net.Conn) {
	if _, err := io.WriteString(conn, a.Start); err != nil {
		return
	}
	chunk := strings.Repeat(a.Repeat, max(chunkBytes/max(len(a.Repeat), 1), 1))
	for sent := 0; sent < a.MaxBytes; sent += len(chunk) {
		if _, err := io.WriteString(conn, chunk); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, a.End)
}

// EndlessHeads returns answers with heads of maxBytes bytes or a little more, by a name of
// their form. Each ends with a body.
func EndlessHeads(maxBytes int, body string) map[string]EndlessAnswer {
	const end = "Connection: close\r\n\r\n"
	return map[string]EndlessAnswer{
		"status line":       {Start: "HTTP/1.1 200 ", Repeat: "a", End: "\r\n" + end + body, MaxBytes: maxBytes},
		"one header":        {Start: "HTTP/1.1 200 OK\r\nA: ", Repeat: "a", End: "\r\n" + end + body, MaxBytes: maxBytes},
		"many headers":      {Start: "HTTP/1.1 200 OK\r\n", Repeat: "a:\r\n", End: end + body, MaxBytes: maxBytes},
		"interim responses": {Repeat: "HTTP/1.1 103 Early Hints\r\n\r\n", End: "HTTP/1.1 200 OK\r\n" + end + body, MaxBytes: maxBytes},
	}
}
