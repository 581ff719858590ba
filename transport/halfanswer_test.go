package transport_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"

	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

// startCutting starts a server that writes bytes to its first connection after it has
// received a call, and ends the connection when received is closed. A reset one drops unread
// bytes.
func startCutting(t *testing.T, answer []byte, resets bool, received <-chan struct{}) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write(answer)
		<-received
		if resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	return listener.Addr().String()
}

// frame returns a message of the first call of a connection.
func frame(message uint64, kind drpcwire.Kind, data []byte, done bool) []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{Data: data, ID: drpcwire.ID{Stream: 1, Message: message}, Kind: kind, Done: done})
}

// Guards against a reply of the inner protocol, or a stream of frames, that was broken off
// and counts as complete: neither the end of a connection nor a part of a message is an end.
func TestBrokenOffMessageIsNoEnd(t *testing.T) {
	empty := frame(1, drpcwire.KindMessage, nil, true)
	answers := map[string][]byte{
		"nothing":                 nil,
		"half a message":          frame(1, drpcwire.KindMessage, nil, false),
		"half a frame":            empty[:len(empty)-1],
		"message without its end": empty,
		"complete":                append(empty[:len(empty):len(empty)], frame(2, drpcwire.KindCloseSend, nil, true)...),
		"half an end":             append(empty[:len(empty):len(empty)], frame(2, drpcwire.KindCloseSend, nil, false)...),
	}
	for name, answer := range answers {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, resets), func(t *testing.T) {
				dialer := transport.NewDialer(nil, nil)
				defer func() { _ = dialer.Close() }()
				received := make(chan struct{})
				if !bytes.HasPrefix(answer, empty) {
					close(received) // there is no message to be received
				}
				stream, err := wire.NewDRPCAgentClient(dialer.Dial(t.Context(), startCutting(t, answer, resets, received))).Run(t.Context(), &wire.RunRequest{})
				if err == nil && bytes.HasPrefix(answer, empty) {
					_, err = stream.Recv()
					close(received)
				}
				for err == nil {
					_, err = stream.Recv()
				}
				require.Equal(t, name == "complete", errors.Is(err, io.EOF), "the stream has ended with %v", err)
			})
		}
	}
}

// Guards against a call without a stream that is answered by a part of a message.
func TestHalfReplyIsNoReply(t *testing.T) {
	for name, answer := range map[string][]byte{"nothing": nil, "half a message": frame(1, drpcwire.KindMessage, []byte{}, false)} {
		t.Run(name, func(t *testing.T) {
			dialer := transport.NewDialer(nil, nil)
			defer func() { _ = dialer.Close() }()
			received := make(chan struct{})
			close(received) // there is no reply to be received
			conn := dialer.Dial(t.Context(), startCutting(t, answer, false, received))
			_, err := wire.NewDRPCAgentClient(conn).Call(t.Context(), &wire.CallRequest{})
			require.Error(t, err)
		})
	}
}
