package frontend_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/standin"
)

// burstInterval is longer than the time for which a server is avoided after a refusal
// without a time.
const burstInterval = 400 * time.Millisecond

// refusals are answers with status 503, with and without the server's mark.
var refusals = map[string]func(s *standin.PlatformServer, w http.ResponseWriter){
	"refusal": func(s *standin.PlatformServer, w http.ResponseWriter) { s.Reject(w) },
	"refusal with the server's mark": func(s *standin.PlatformServer, w http.ResponseWriter) {
		s.Answer(w, http.StatusServiceUnavailable, "busy")
	},
}

// Guards against calls to a server within the time for which it wants none, as it states
// in a refusal with or without its mark, against calls that are refused although another
// server is free, and against a server that gets no calls after that time.
func TestServerGetsNoCallsWhileItWantsNone(t *testing.T) {
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var busy atomic.Bool
			busy.Store(true)
			paused := d.startServer("i-paused", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
				return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
					if !busy.Load() {
						s.Answer(w, http.StatusOK, "served")
						return
					}
					w.Header().Set("Retry-After", "7")
					refuse(s, w)
				}
			})
			d.startServer("i-other", "svc", nil)
			f := d.startReadyFront("front-1")
			d.eventually(func() bool {
				f.callConcurrently(http.MethodGet, "/read/x", 8)
				return len(paused.Seen()) > 0
			}, "no call reached the server")
			busy.Store(false)
			for range 6 {
				time.Sleep(burstInterval)
				for _, got := range f.callConcurrently(http.MethodGet, "/read/x", 20) {
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status)
				}
			}
			require.Empty(t, paused.Seen())
			row, ok := d.store.Row("servers", "i-other")
			require.True(t, ok)
			d.putUpstreamRow("i-other", "svc", addressOfRow(t, row), "draining")
			d.eventually(func() bool {
				f.callConcurrently(http.MethodGet, "/read/x", 8)
				return len(paused.Seen()) > 0
			}, "the server gets no calls after the pause")
		})
	}
}

// Guards against calls that reach the only server of a service although it wants none,
// and against callers that are not told when it may be used again.
func TestCallIsRefusedUntilOnlyServerMayBeUsed(t *testing.T) {
	const pauseSeconds = 30
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			s := d.startServer("i-1", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
				return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
					w.Header().Set("Retry-After", strconv.Itoa(pauseSeconds))
					refuse(s, w)
				}
			})
			f := d.startReadyFront("front-1")
			require.Equal(t, http.StatusServiceUnavailable, f.call(http.MethodPost, "/log/x", "r-1", nil).status)
			for range 3 {
				got := f.call(http.MethodPost, "/log/x", "r-2", nil)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.Equal(t, "paused\n", got.body)
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, seconds, 1.0)
				require.LessOrEqual(t, seconds, float64(pauseSeconds)+1)
			}
			require.Len(t, s.Seen(), 1)
		})
	}
}

// Guards against a call that is refused although the only server of its service may be used
// again within the time in which calls wait for placement.
func TestCallWaitsForPauseThatEndsSoon(t *testing.T) {
	d := newDeployment(t)
	var busy atomic.Bool
	d.startServer("i-1", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			if busy.CompareAndSwap(true, false) {
				w.Header().Set("Retry-After", "0.04")
				s.Reject(w)
				return
			}
			s.Answer(w, http.StatusOK, "served")
		}
	})
	f := d.startReadyFront("front-1")
	for range 5 {
		busy.Store(true)
		require.Equal(t, http.StatusServiceUnavailable, f.call(http.MethodPost, "/log/x", "r-1", nil).status)
		got := f.call(http.MethodPost, "/log/x", "r-2", nil)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// pollRecorder records the requests for cache events that reach a server.
type pollRecorder struct {
	server *standin.PlatformServer
	polls  *ring.Ring[poll]
	// refusedAt receives the time at which the server refuses a call.
	refusedAt *ring.Ring[time.Time]
}

// poll is a request for cache events.
type poll struct {
	receivedAt time.Time
	since      string
}

// ServeHTTP implements http.Handler.
func (p *pollRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/kv-events" {
		p.polls.Push(poll{receivedAt: time.Now(), since: r.URL.Query().Get("since")})
		_, _ = io.WriteString(w, `{"boot-epoch":1,"next":7,"lost":false,"events":[]}`)
		return
	}
	p.server.ServeHTTP(w, r)
}

// Guards against requests for cache events that reach a model server within the time for
// which it wants nothing, and against a model server whose events are no longer read after
// that time, or are read anew, so that what is recorded of its cache is lost.
func TestCacheEventsAreNotReadDuringPause(t *testing.T) {
	const (
		pause = 3 * time.Second
		// settleTime is the time after the refusal from which at most maxLate requests may
		// reach the server.
		settleTime = 500 * time.Millisecond
		maxLate    = 2
		maxPolls   = 256
	)
	d := newDeployment(t)
	d.configure(func(config map[string]any) {
		config["services"] = []any{
			map[string]any{"name": "svc", "engine": map[string]any{"slots": 8, "kv-capacity-tokens": 1000, "kv-token-bytes": 10, "link-mbps": 1000}},
			map[string]any{"name": "other"},
		}
	})
	recorder := &pollRecorder{server: standin.NewPlatformServer("i-1"), polls: ring.New[poll](maxPolls), refusedAt: ring.New[time.Time](1)}
	recorder.server.Script = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
		recorder.refusedAt.Push(time.Now())
		w.Header().Set("Retry-After", fmt.Sprint(pause.Seconds()))
		recorder.server.Reject(w)
	}
	httpServer := httptest.NewServer(recorder)
	t.Cleanup(func() {
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	d.putUpstreamRow("i-1", "svc", httpServer.Listener.Addr().String(), "ready")
	f := d.startReadyFront("front-1")
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	first, err := recorder.polls.Receive(ctx)
	require.NoError(t, err)
	require.Equal(t, "0", first.since)
	require.Equal(t, http.StatusServiceUnavailable, f.call(http.MethodPost, "/log/x", "r-1", nil).status)
	refusedAt, ok := recorder.refusedAt.TryReceive()
	require.True(t, ok)
	late := 0
	for {
		p, err := recorder.polls.Receive(ctx)
		require.NoError(t, err, "the cache events are not read after the pause")
		require.Equal(t, "7", p.since)
		age := p.receivedAt.Sub(refusedAt)
		if age >= pause {
			break
		}
		if age >= settleTime {
			late++
		}
	}
	require.LessOrEqual(t, late, maxLate)
}
