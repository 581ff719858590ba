package callerhttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// newConnPair returns an accepted connection and the one of its client.
func newConnPair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := l.Accept()
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := newConn(accepted.(*net.TCPConn), newConnDuty("callers", func() Timeouts { return Timeouts{} }, log))
	t.Cleanup(func() { _ = c.Close() })
	return c, client
}

// Guards against connections that are closed for a late head although the rest of it
// has arrived: the process was suspended or short of processor time.
func TestHeadThatHasArrivedIsNotLate(t *testing.T) {
	c, client := newConnPair(t)
	buf := make([]byte, 4)
	send := func() {
		_, err := io.WriteString(client, "GET ")
		require.NoError(t, err)
	}
	send()
	_, err := io.ReadFull(c, buf)
	require.NoError(t, err)
	send()
	require.Eventually(t, func() bool { return unreadBytes(c.TCPConn) > 0 }, testTimeout, time.Millisecond)
	table := connTable{open: map[*conn]struct{}{c: {}}}
	late := time.Now().Add(time.Hour)
	c.duty.closeWaiting(&table, late)
	_, err = io.ReadFull(c, buf)
	require.NoError(t, err, "the head has arrived")
	c.duty.closeWaiting(&table, late)
	_, err = c.Read(buf)
	require.True(t, isTimeout(err), "the head is late")
}

// Guards against requests that are given up as late ones at the moment at which the rest
// of their heads was read: only http.Server knows that a head is complete.
func TestHeadThatWasReadIsNotLate(t *testing.T) {
	c, client := newConnPair(t)
	buf := make([]byte, 64)
	_, err := io.WriteString(client, requestBegin+requestEnd)
	require.NoError(t, err)
	_, err = io.ReadFull(c, buf[:len(requestBegin+requestEnd)])
	require.NoError(t, err)
	table := connTable{open: map[*conn]struct{}{c: {}}}
	c.duty.closeWaiting(&table, time.Now().Add(time.Hour))
	c.recordState(http.StateActive, false, time.Now())
	_, err = io.WriteString(client, "G")
	require.NoError(t, err)
	_, err = io.ReadFull(c, buf[:1])
	require.NoError(t, err, "the caller has not left")
	_, err = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
	require.NoError(t, err, "the request is answered")
}
