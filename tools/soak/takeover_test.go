package main

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/singleton/dutystatus"
	"waxwingtide.example/waxwingtide/standin"
)

const (
	takeoverLease = 1500 * time.Millisecond
	// takeoverBound is the time in which a holder is replaced: two leases and the delays of
	// four ranks. takeoverSlack allows for a busy machine.
	takeoverBound = 2*takeoverLease + 450*time.Millisecond
	takeoverSlack = 1500 * time.Millisecond
)

// holders returns the holder of each subject as the fronts show it, other than one front.
func (w *world) holders(t *testing.T, except *front) map[string]*front {
	client := http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	holders := make(map[string]*front)
	for i, f := range w.fronts {
		if f == except {
			continue
		}
		response, err := client.Get("http://" + address(4*i+3) + dutystatus.Path)
		if err != nil {
			continue
		}
		shown, err := dutystatus.Decode(response.Body)
		_ = response.Body.Close()
		require.NoError(t, err)
		for _, d := range shown.Duties {
			require.NotContains(t, holders, d.Subject, "two holders")
			holders[d.Subject] = f
		}
	}
	return holders
}

// awaitHolder returns the holder of a subject when one of the fronts but one holds it.
func (w *world) awaitHolder(t *testing.T, subject string, except *front, within time.Duration) *front {
	t.Helper()
	var holder *front
	require.Eventually(t, func() bool {
		holder = w.holders(t, except)[subject]
		return holder != nil
	}, within, 20*time.Millisecond, "no other front holds %s", subject)
	return holder
}

// startWorld starts a deployment of three fronts without faults.
func startWorld(t *testing.T) *world {
	t.Helper()
	program := filepath.Join(t.TempDir(), "waxwing-front")
	out, err := exec.Command("go", "build", "-o", program, "waxwingtide.example/waxwingtide/cmd/waxwing-front").CombinedOutput()
	require.NoError(t, err, string(out))
	w := &world{o: options{Front: program, Fronts: 3, Servers: 2, Lease: takeoverLease, Logs: t.TempDir()}, ledger: newLedger()}
	var book conc.WaitGroup
	book.Go(w.ledger.run)
	t.Cleanup(func() {
		w.ledger.entries.Close()
		book.Wait()
		w.close()
	})
	require.NoError(t, w.start())
	require.NoError(t, w.awaitReady(t.Context()))
	return w
}

// read runs a function in the duty that owns the ledger.
func (w *world) read(f func()) {
	done := make(chan struct{})
	w.ledger.note(entry{change: func(*timeline, time.Time) {
		f()
		close(done)
	}})
	<-done
}

func (w *world) dutyCalls() (calls []standin.DutyCall) {
	w.read(func() { calls = slices.Clone(w.ledger.duties) })
	return calls
}

// startedCalls returns when calls began at servers.
func (w *world) startedCalls() (started []time.Time) {
	w.read(func() {
		for _, c := range w.ledger.calls {
			started = append(started, c.ranAt...)
		}
	})
	return started
}

// Guards against windows that are not reported, or with other counts, because they ended
// while the store was away for all fronts and for longer than the lease.
func TestWindowsOfAStoreOutageAreReported(t *testing.T) {
	const outage = 2*takeoverLease + 2*time.Second
	w := startWorld(t)
	require.Eventually(t, func() bool { return w.lastHolder.Load() != nil }, readyTime, 20*time.Millisecond, "no report")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var callers conc.WaitGroup
	defer callers.Wait()
	begun := time.Now()
	callers.Go(func() { w.caller(ctx, 0) })
	time.Sleep(usageWindow)
	for _, f := range w.fronts {
		f.store.set(silent)
	}
	time.Sleep(outage)
	restored := time.Now()
	for _, f := range w.fronts {
		f.store.set(open)
	}
	time.Sleep(takeoverBound + takeoverSlack + 2*usageWindow)
	stop()
	callers.Wait()
	ended := time.Now()
	calls, started := w.dutyCalls(), w.startedCalls()
	require.Empty(t, dutyBreaks(calls, newTimeline()))
	require.Empty(t, usageBreaks(calls, started, begun, ended))
	reported := make(map[int64]bool)
	for _, c := range calls {
		reported[c.Window] = c.Counts != ""
	}
	for window := begun.UnixNano()/int64(usageWindow) + 1; window < restored.UnixNano()/int64(usageWindow); window++ {
		require.True(t, reported[window], "window %d is not reported", window)
	}
}

// Guards against a duty that no front performs for longer than documented after its holder
// was killed, suspended or cut off, and against calls of a holder that arrive after those of
// the next one, when its link works again.
func TestDutiesAreTakenOver(t *testing.T) {
	w := startWorld(t)
	faults := map[string]struct{ begin, end func(f *front) }{
		"killed": {func(f *front) { f.child.Load().end() }, func(f *front) { require.NoError(t, w.launch(f)) }},
		"suspended": {
			func(f *front) { f.child.Load().signal(syscall.SIGSTOP) },
			func(f *front) { f.child.Load().signal(syscall.SIGCONT) },
		},
		"cut off from store and platform": {
			func(f *front) {
				f.store.set(silent)
				f.cloud.set(holding)
			},
			func(f *front) {
				f.store.set(open)
				f.cloud.set(open)
				time.Sleep(2 * heldDelay)
			},
		},
		"cut off from the store": {func(f *front) { f.store.set(silent) }, func(f *front) { f.store.set(open) }},
	}
	for name, fault := range faults {
		for _, subject := range []string{"usage", fmt.Sprintf("scale/%s/%s", service, zones[0])} {
			t.Run(subject+" "+name, func(t *testing.T) {
				holder := w.awaitHolder(t, subject, nil, 2*readyTime)
				if subject == "usage" {
					require.Eventually(t, func() bool { return w.lastHolder.Load() == holder }, readyTime, 20*time.Millisecond, "no report")
				}
				fault.begin(holder)
				w.awaitHolder(t, subject, holder, takeoverBound+takeoverSlack)
				if subject == "usage" {
					require.Eventually(t, func() bool { return w.lastHolder.Load() != holder }, 4*usageWindow, 20*time.Millisecond, "the next holder reports nothing")
				}
				fault.end(holder)
			})
		}
	}
	require.Empty(t, dutyBreaks(w.dutyCalls(), newTimeline()))
}
