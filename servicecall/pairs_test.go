package servicecall_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fault is injected at a point of the first call's run.
type fault struct {
	name   string
	inject func(w *world, endEntry context.CancelFunc)
}

func faults() []fault {
	return []fault{
		{"entry death", func(_ *world, endEntry context.CancelFunc) { endEntry() }},
		{"agent restart", func(w *world, _ context.CancelFunc) {
			w.restart("r1")
			w.restart("r2")
		}},
		{"table outage", func(w *world, _ context.CancelFunc) { w.table.set(func(f *fakeTable) { f.down = true }) }},
		{"lost table answer", func(w *world, _ context.CancelFunc) { w.table.set(func(f *fakeTable) { f.loseAnswers = 1 }) }},
		{"retry at another entry", func(w *world, _ context.CancelFunc) { w.book(0, "early retry") }},
		{"second caller", func(w *world, _ context.CancelFunc) {
			w.book(0, "second")
			w.book(time.Millisecond, "third")
		}},
	}
}

// points are times before, during and after each step of the first call: the
// claim is written until 10 ms, the call runs until 110 ms and the result is
// written until 120 ms.
var points = []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 115 * time.Millisecond, 300 * time.Millisecond}

// Guards against a second run, a false "not run" and a changed answer under
// each fault and each pair of faults at each step of a call. The table comes
// back after 5 s; retries come during and after the outage.
func TestFaultPairs(t *testing.T) {
	all := faults()
	for i, first := range all {
		for _, second := range all[i:] {
			for _, firstAt := range points {
				for _, secondAt := range points {
					name := fmt.Sprintf("%s at %s, %s at %s", first.name, firstAt, second.name, secondAt)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runPair(t, first, firstAt, second, secondAt) })
					})
				}
			}
		}
	}
}

func runPair(t *testing.T, first fault, firstAt time.Duration, second fault, secondAt time.Duration) {
	w := newWorld(t)
	endEntry := w.book(time.Millisecond, "first")
	for _, f := range []struct {
		fault
		at time.Duration
	}{{first, firstAt}, {second, secondAt}} {
		w.callers.Go(func() {
			time.Sleep(f.at)
			f.inject(w, endEntry)
		})
	}
	w.book(2*time.Second, "during")
	time.Sleep(5 * time.Second)
	w.table.set(func(f *fakeTable) { f.down = false })
	w.book(5*time.Second, "after")
	w.book(6*time.Second, "last")
	w.callers.Wait()
	w.stop()
	w.check()
	last := w.results[len(w.results)-1]
	require.Contains(t, []string{"", "outcome_unknown"}, last.kind, "the last retry after all faults gets a final reply: %v", w.kinds())
}

// Guards against a fault that costs more than it must: a caller that retries
// gets the answer unless the agent died before the result was in the table.
func TestSingleFaults(t *testing.T) {
	cases := map[string]struct {
		fault int
		at    time.Duration
		want  []string
	}{
		"entry dies during the run":            {0, 50 * time.Millisecond, []string{"first cut", "during finished", "after finished"}},
		"entry dies before the claim":          {0, 5 * time.Millisecond, []string{"first cut", "during finished", "after finished"}},
		"agent restarts during the run":        {1, 50 * time.Millisecond, []string{"first outcome_unknown", "during outcome_unknown", "after outcome_unknown"}},
		"agent restarts after the result":      {1, 300 * time.Millisecond, []string{"first finished", "during finished", "after finished"}},
		"table out before the claim":           {2, 0, []string{"first not_run", "during not_run", "after finished"}},
		"table out during the run":             {2, 50 * time.Millisecond, []string{"first finished", "during finished", "after finished"}},
		"claim's answer is lost":               {3, 0, []string{"first not_run", "during finished", "after finished"}},
		"result's answer is lost":              {3, 50 * time.Millisecond, []string{"first finished", "during finished", "after finished"}},
		"retry at another entry while it runs": {4, 50 * time.Millisecond, []string{"early retry in_progress", "first finished", "during finished", "after finished"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				endEntry := w.book(time.Millisecond, "first")
				time.Sleep(c.at)
				faults()[c.fault].inject(w, endEntry)
				w.book(2*time.Second, "during")
				time.Sleep(5 * time.Second)
				w.table.set(func(f *fakeTable) { f.down = false })
				w.book(time.Second, "after")
				w.callers.Wait()
				w.stop()
				w.check()
				require.Equal(t, c.want, w.kinds())
			})
		})
	}
}

// Guards against a key that stays claimed although its call was not handed
// over, and against an attempt elsewhere while that is not in the table.
func TestServiceDown(t *testing.T) {
	for name, cutOff := range map[string]bool{"table reached": false, "agent cut off from the table": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				w.cutAfterRefusal = cutOff
				w.service.down.Store(true)
				w.book(0, "first")
				time.Sleep(5 * time.Second)
				w.service.down.Store(false)
				for _, p := range w.agents {
					p.cut.Store(false)
				}
				w.book(5*time.Second, "after")
				w.callers.Wait()
				w.stop()
				w.check()
				require.Equal(t, []string{"first not_run", "after finished"}, w.kinds())
			})
		})
	}
}

// Guards against a table transaction for each call under load.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		const calls = 400
		for i := range calls {
			w.callers.Go(func() {
				w.request(context.Background(), fmt.Sprint("call", i), http.MethodPost, "/services/records/lots", fmt.Sprint("key", i))
			})
		}
		w.callers.Wait()
		w.stop()
		require.Len(t, w.service.ledger, calls)
		for _, r := range w.results {
			require.Equal(t, http.StatusCreated, r.status, r.body)
		}
		// One write for each claim and each result would be 800 transactions. The
		// sizes of the groups depend on the order in which calls arrive.
		require.LessOrEqual(t, w.table.transactions, 2*calls/10)
		t.Logf("%d calls took %d transactions", calls, w.table.transactions)
	})
}

// Guards against a large answer that is lost, and against a process that stops
// before its results are in the table.
func TestLargeAnswerAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.service.padding = 1 << 20
		w.book(0, "first")
		time.Sleep(50 * time.Millisecond)
		w.table.set(func(f *fakeTable) { f.down = true })
		w.callers.Go(func() {
			time.Sleep(3 * time.Second)
			w.table.set(func(f *fakeTable) { f.down = false })
		})
		for _, p := range w.agents {
			require.NoError(t, p.executor.Drain(t.Context()))
		}
		w.book(0, "stopping")
		time.Sleep(time.Second)
		w.restart("r1")
		w.restart("r2")
		w.book(0, "after")
		w.callers.Wait()
		w.stop()
		w.check()
		require.Equal(t, []string{"first finished", "stopping not_run", "after finished"}, w.kinds())
	})
}
