package callerhttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
)

const headBudgetBytes = 1 << 20

// withLimits sets the limits of a server that has not started.
func (s *served) withLimits(limits Limits) *served {
	s.server.duty.guard.limits = limits
	return s
}

// Guards against heads that are refused without an answer or with one that is not true, and
// against memory that remains charged after their connections have ended.
func TestHeadWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	memory := membudget.New("requests", headBudgetBytes)
	s := newServed(t, nil, func(http.ResponseWriter, *http.Request) { t.Error("a refused request has reached the handler") })
	s.withLimits(Limits{Memory: memory}).start()
	c := s.dial().send("GET /x HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("a:\r\n", 1<<20/fieldBytes))
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return memory.UsedBytes() == 0 && s.server.Counts().Open == 0 }, testTimeout, time.Millisecond)
	require.EqualValues(t, 1, s.server.Counts().RefusedHeads)
}

// Guards against heads that are read ahead of their turn and not charged, and against
// memory that remains charged after an answer.
func TestHeadIsChargedUntilItsAnswer(t *testing.T) {
	memory := membudget.New("requests", headBudgetBytes)
	charged := make(chan int64, 2)
	s := newServed(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		charged <- memory.UsedBytes()
		_, _ = io.WriteString(w, "served")
	}).withLimits(Limits{Memory: memory}).start()
	const fields = 100
	request := "GET /x HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
	c := s.dial().send(request + request)
	for range 2 {
		c.requireResponse()
		require.GreaterOrEqual(t, <-charged, int64(fields*fieldBytes))
	}
	require.Eventually(t, func() bool { return memory.UsedBytes() == 0 }, testTimeout, time.Millisecond)
}

// Guards against connections that are too many and are served, and against idle ones that
// keep new clients out.
func TestConnectionsAreBounded(t *testing.T) {
	const limit = 8
	s := newServed(t, nil, nil).withLimits(Limits{Connections: limit}).start()
	for range 2 * limit {
		s.dial()
	}
	require.Eventually(t, func() bool { return s.server.Counts().RefusedConns >= limit }, testTimeout, time.Millisecond)
	require.LessOrEqual(t, s.server.Counts().Open, int64(limit))
	require.Eventually(t, func() bool {
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + s.address + "/x")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 10*time.Millisecond)
	require.Positive(t, s.server.Counts().Evicted)
}

// Guards against bodies that end a byte short and are awaited for longer than the idle
// timeout, and against clients that are cut although they send a byte now and then.
func TestStalledBodyIsClosed(t *testing.T) {
	c, client := newConnPair(t)
	c.recordState(http.StateActive, false, time.Now())
	table := connTable{open: map[*conn]struct{}{c: {}}}
	read := make(chan error, 1)
	readOnce := func() {
		_, err := c.Read(make([]byte, 64))
		read <- err
	}
	go readOnce()
	require.Eventually(t, func() bool { return c.isStalled(time.Now().Add(time.Second), 0) }, testTimeout, time.Millisecond)
	c.duty.closeWaiting(&table, time.Now().Add(defaultIdleTimeout/2))
	_, err := io.WriteString(client, "x")
	require.NoError(t, err)
	require.NoError(t, <-read, "the client has sent a byte in time")
	go readOnce()
	require.Eventually(t, func() bool { return c.isStalled(time.Now().Add(time.Second), 0) }, testTimeout, time.Millisecond)
	c.duty.closeWaiting(&table, time.Now().Add(2*defaultIdleTimeout))
	require.True(t, isTimeout(<-read), "the body is awaited without end")
}

// Guards against answers that are kept for clients that never read them.
func TestUnreadAnswerIsClosed(t *testing.T) {
	c, _ := newConnPair(t)
	c.recordState(http.StateActive, false, time.Now())
	table := connTable{open: map[*conn]struct{}{c: {}}}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	require.Eventually(t, func() bool {
		c.duty.closeWaiting(&table, time.Now().Add(2*defaultIdleTimeout))
		select {
		case err := <-written:
			return isTimeout(err)
		default:
			return false
		}
	}, testTimeout, time.Millisecond)
}

// Guards against bytes that are changed, lost or not charged by the reader of heads,
// whatever they are and however they are cut.
func FuzzHeadReader(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nbody\n\n\n"), uint8(3))
	f.Add([]byte("\n\n\n\n\r\n\r\n"), uint8(1))
	f.Add(bytes.Repeat([]byte("a:\n"), 5000), uint8(200))
	f.Fuzz(func(t *testing.T, sent []byte, pieceBytes uint8) {
		memory := membudget.New("requests", headBudgetBytes)
		accepted, peer := newConnPair(t)
		accepted.memory = memory.Open()
		go func() {
			for at := 0; at < len(sent); at += int(pieceBytes) + 1 {
				if _, err := peer.Write(sent[at:min(at+int(pieceBytes)+1, len(sent))]); err != nil {
					return
				}
			}
			_ = peer.(*net.TCPConn).CloseWrite()
		}()
		got, err := io.ReadAll(accepted)
		if accepted.refused {
			require.Error(t, err)
		} else {
			require.NoError(t, err)
			require.Equal(t, len(sent), len(got))
			require.True(t, bytes.Equal(sent, got))
		}
		require.LessOrEqual(t, memory.UsedBytes(), int64(headBudgetBytes))
		accepted.leave()
		require.Zero(t, memory.UsedBytes())
	})
}

// Guards against bodies whose handlers read them whole and that are not charged, refused
// without a sign of it, or charged after their requests have ended.
func TestBodiesAreCharged(t *testing.T) {
	memory := membudget.New("requests", headBudgetBytes)
	s := newServed(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			if errs.Is(err, errs.Exhausted) {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		_, _ = io.WriteString(w, "served")
	}).withLimits(Limits{Memory: memory, ChargeBodies: true}).start()
	post := func(size int) int {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Post("http://"+s.address+"/x", "text/plain", strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	const fits = headBudgetBytes / 4 / bodyFactor
	for range 8 {
		require.Equal(t, http.StatusOK, post(fits))
	}
	require.Equal(t, http.StatusServiceUnavailable, post(headBudgetBytes/bodyFactor))
	require.Equal(t, http.StatusOK, post(fits))
	require.Eventually(t, func() bool { return memory.UsedBytes() == 0 }, testTimeout, time.Millisecond)
}
