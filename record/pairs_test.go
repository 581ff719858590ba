package record_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fault is a fault that a test injects while the first call is processed. crashEntry
// ends the context of the first call's request.
type fault struct {
	name   string
	inject func(cl *cluster, crashEntry context.CancelFunc)
}

func faults() []fault {
	return []fault{
		{"entry crash", func(_ *cluster, crashEntry context.CancelFunc) { crashEntry() }},
		{"agent restart", func(cl *cluster, _ context.CancelFunc) {
			cl.restartAgent("r1")
			cl.restartAgent("r2")
		}},
		{"table outage", func(cl *cluster, _ context.CancelFunc) { cl.table.update(func(f *fakeTable) { f.unavailable = true }) }},
		{"lost table response", func(cl *cluster, _ context.CancelFunc) { cl.table.update(func(f *fakeTable) { f.responsesToLose = 1 }) }},
		{"retry at another entry", func(cl *cluster, _ context.CancelFunc) { cl.postLotAfter(0, "concurrent retry") }},
		{"second caller", func(cl *cluster, _ context.CancelFunc) {
			cl.postLotAfter(0, "second caller")
			cl.postLotAfter(time.Millisecond, "third caller")
		}},
	}
}

// injectionTimes are times before, during and after the steps of the first call.
// Without a fault, the claim is in the table after about 10 ms, the run ends after
// about 110 ms, and the result is in the table after about 120 ms.
var injectionTimes = []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 115 * time.Millisecond, 300 * time.Millisecond}

// Guards against a second run, a wrong "not run" response and a different response to
// a retry. Each pair of faults, including two faults of the same kind, is injected at
// each pair of times. The table is available again after 5 s. Retries are sent during
// and after an outage of the table.
func TestFaultPairs(t *testing.T) {
	all := faults()
	for i, first := range all {
		for _, second := range all[i:] {
			for _, firstAt := range injectionTimes {
				for _, secondAt := range injectionTimes {
					name := fmt.Sprintf("%s at %s, %s at %s", first.name, firstAt, second.name, secondAt)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runFaultPair(t, first, firstAt, second, secondAt) })
					})
				}
			}
		}
	}
}

func runFaultPair(t *testing.T, first fault, firstAt time.Duration, second fault, secondAt time.Duration) {
	cl := newCluster(t)
	crashEntry := cl.postLotAfter(time.Millisecond, "first")
	for _, f := range []struct {
		fault
		at time.Duration
	}{{first, firstAt}, {second, secondAt}} {
		cl.tasks.Go(func() {
			time.Sleep(f.at)
			f.inject(cl, crashEntry)
		})
	}
	cl.postLotAfter(2*time.Second, "retry 1")
	time.Sleep(5 * time.Second)
	cl.table.update(func(f *fakeTable) { f.unavailable = false })
	cl.postLotAfter(5*time.Second, "retry 2")
	cl.postLotAfter(6*time.Second, "retry 3")
	cl.tasks.Wait()
	cl.stop()
	cl.checkResults()
	last := cl.results[len(cl.results)-1]
	require.Contains(t, []string{"", "outcome_unknown"}, last.errorType, "the last retry after all faults must receive a final response: %v", cl.outcomes())
}

// Guards against retries that do not return the response of the first run after a
// single fault. A retry must return it unless the agent stopped before the result was
// in the table.
func TestSingleFaults(t *testing.T) {
	cases := map[string]struct {
		// faultIndex is the index in the result of faults: 0 is the entry crash, 1 the
		// agent restart, 2 the table outage, 3 the lost table response and 4 the retry
		// at another entry.
		faultIndex int
		at         time.Duration
		want       []string
	}{
		"entry crashes during the run":           {0, 50 * time.Millisecond, []string{"first entry_crashed", "retry 1 finished", "retry 2 finished"}},
		"entry crashes before the claim":         {0, 5 * time.Millisecond, []string{"first entry_crashed", "retry 1 finished", "retry 2 finished"}},
		"agent restarts during the run":          {1, 50 * time.Millisecond, []string{"first outcome_unknown", "retry 1 outcome_unknown", "retry 2 outcome_unknown"}},
		"agent restarts after the result":        {1, 300 * time.Millisecond, []string{"first finished", "retry 1 finished", "retry 2 finished"}},
		"table unavailable before the claim":     {2, 0, []string{"first not_run", "retry 1 not_run", "retry 2 finished"}},
		"table unavailable during the run":       {2, 50 * time.Millisecond, []string{"first finished", "retry 1 finished", "retry 2 finished"}},
		"table's response to the claim is lost":  {3, 0, []string{"first not_run", "retry 1 finished", "retry 2 finished"}},
		"table's response to the result is lost": {3, 50 * time.Millisecond, []string{"first finished", "retry 1 finished", "retry 2 finished"}},
		"retry at another entry while it runs":   {4, 50 * time.Millisecond, []string{"concurrent retry in_progress", "first finished", "retry 1 finished", "retry 2 finished"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t)
				crashEntry := cl.postLotAfter(time.Millisecond, "first")
				time.Sleep(c.at)
				faults()[c.faultIndex].inject(cl, crashEntry)
				cl.postLotAfter(2*time.Second, "retry 1")
				time.Sleep(5 * time.Second)
				cl.table.update(func(f *fakeTable) { f.unavailable = false })
				cl.postLotAfter(time.Second, "retry 2")
				cl.tasks.Wait()
				cl.stop()
				cl.checkResults()
				require.Equal(t, c.want, cl.outcomes())
			})
		})
	}
}

// Guards against a claim that is not released although its call was not sent to the
// service. Also guards against an attempt at another upstream before the release is in
// the table.
func TestServiceUnavailable(t *testing.T) {
	for name, failTransactions := range map[string]bool{"transactions succeed": false, "transactions of the agent fail": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t)
				cl.failTransactionsAfterRefusal = failTransactions
				cl.service.unavailable.Store(true)
				cl.postLotAfter(0, "first")
				time.Sleep(5 * time.Second)
				cl.service.unavailable.Store(false)
				for _, p := range cl.agents {
					p.transactionsFail.Store(false)
				}
				cl.postLotAfter(5*time.Second, "retry")
				cl.tasks.Wait()
				cl.stop()
				cl.checkResults()
				require.Equal(t, []string{"first not_run", "retry finished"}, cl.outcomes())
			})
		})
	}
}

// Guards against separate table transactions for the calls of a busy agent. The
// executors must write the claims and results of several calls in one transaction.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		const calls = 400
		for i := range calls {
			cl.tasks.Go(func() {
				cl.request(context.Background(), fmt.Sprint("call", i), http.MethodPost, "/services/records/lots", fmt.Sprint("key", i))
			})
		}
		cl.tasks.Wait()
		cl.stop()
		require.Len(t, cl.service.executedAttempts, calls)
		for _, r := range cl.results {
			require.Equal(t, http.StatusCreated, r.status, r.body)
		}
		// One transaction for each claim and each result would be 800 transactions.
		// The number of calls in a transaction depends on the sequence in which the
		// calls arrive.
		require.LessOrEqual(t, cl.table.transactions, 2*calls/10)
		t.Logf("%d calls took %d transactions", calls, cl.table.transactions)
	})
}

// Guards against the loss of a response body that is too large for the row, and
// against a drain that ends before the results are in the table.
func TestLargeResponseAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		cl.service.padding = 1 << 20
		cl.postLotAfter(0, "first")
		time.Sleep(50 * time.Millisecond)
		cl.table.update(func(f *fakeTable) { f.unavailable = true })
		cl.tasks.Go(func() {
			time.Sleep(3 * time.Second)
			cl.table.update(func(f *fakeTable) { f.unavailable = false })
		})
		for _, p := range cl.agents {
			require.NoError(t, p.executor.Drain(t.Context()))
		}
		cl.postLotAfter(0, "during drain")
		time.Sleep(time.Second)
		cl.restartAgent("r1")
		cl.restartAgent("r2")
		cl.postLotAfter(0, "after restart")
		cl.tasks.Wait()
		cl.stop()
		cl.checkResults()
		require.Equal(t, []string{"first finished", "during drain not_run", "after restart finished"}, cl.outcomes())
	})
}
