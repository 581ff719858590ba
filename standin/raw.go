package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// RawAnswer writes the answer to a request to its connection. The body of the request has
// been read. number counts the requests of the connection, from 1. The connection is
// closed if the function returns false. It is called on a goroutine of the connection.
type RawAnswer func(conn net.Conn, r *http.Request, number int) (keep bool)

// RawServer is an HTTP server that writes the bytes of its answers itself, so that they can
// be cut, repeated or malformed.
type RawServer struct {
	listener net.Listener
	answer   RawAnswer
}

// StartRaw starts a server on a free port of loopback.
func StartRaw(answer RawAnswer) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, answer: answer}
	go s.accept()
	return s, nil
}

// Address returns the address of the server.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close closes the listener. Connections end when their clients close them.
func (s *RawServer) Close() { _ = s.listener.Close() }

func (s *RawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *RawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !s.answer(conn, request, number) {
			return
		}
	}
}
