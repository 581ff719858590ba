package frontend_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// arrivals records the times at which calls reached a server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// between returns the number of arrivals in a period.
func (a *arrivals) between(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Guards against a server that gets more calls from all fronts together than the rate
// that it has announced, also when a front restarts, and against one that gets no more
// calls after it has stopped announcing a rate.
func TestAnnouncedRateAppliesToAllFrontsTogether(t *testing.T) {
	const (
		rate         = 2.5 // calls a second
		knownAfter   = 3 * time.Second
		window       = 4 * time.Second
		limitedFor   = 9 * time.Second
		duration     = limitedFor + 6*time.Second
		callInterval = 15 * time.Millisecond
		allowed      = 1.5*rate*4 + 5
	)
	d := newDeployment(t)
	var limited atomic.Bool
	var reached arrivals
	limited.Store(true)
	d.startServer("i-limited", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			reached.add()
			if limited.Load() {
				w.Header().Set("Server-Limit", fmt.Sprint(rate))
			}
			s.Answer(w, http.StatusOK, "served")
		}
	})
	d.startServer("i-other", "svc", nil)
	fronts := []*front{d.startReadyFront("front-1"), d.startReadyFront("front-2"), d.startReadyFront("front-3")}
	start := time.Now()
	var calls sync.WaitGroup
	var served, sent atomic.Int32
	restarted := false
	for i := 0; time.Since(start) < duration; i++ {
		f := fronts[i%len(fronts)]
		calls.Go(func() {
			sent.Add(1)
			if got := f.call(http.MethodGet, "/read/x", fmt.Sprint("r-", i), nil); got.err == nil && got.status == http.StatusOK {
				served.Add(1)
			}
		})
		if !restarted && time.Since(start) > knownAfter+time.Second {
			restarted = true
			fronts[2].stop()
			fronts[2] = d.startReadyFront("front-3")
		}
		limited.Store(time.Since(start) < limitedFor)
		time.Sleep(callInterval)
	}
	calls.Wait()
	for from := start.Add(knownAfter); from.Before(start.Add(limitedFor - window)); from = from.Add(100 * time.Millisecond) {
		require.LessOrEqual(t, float64(reached.between(from, from.Add(window))), allowed, "calls in 4 s from %v on", from.Sub(start))
	}
	atRate := reached.between(start.Add(knownAfter), start.Add(limitedFor))
	require.GreaterOrEqual(t, float64(atRate), 0.4*rate*(limitedFor-knownAfter).Seconds(), "the announced rate is not used")
	free := reached.between(start.Add(duration-window), start.Add(duration))
	require.Greater(t, float64(free), 3*allowed, "the server is still limited")
	require.GreaterOrEqual(t, float64(served.Load()), 0.97*float64(sent.Load()))
}
