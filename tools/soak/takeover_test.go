package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/singleton/dutystatus"
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

// Guards against a duty that no front performs for longer than documented after its holder
// was killed, suspended or cut off from the store.
func TestDutiesAreTakenOver(t *testing.T) {
	program := filepath.Join(t.TempDir(), "waxwing-front")
	out, err := exec.Command("go", "build", "-o", program, "waxwingtide.example/waxwingtide/cmd/waxwing-front").CombinedOutput()
	require.NoError(t, err, string(out))
	w := &world{o: options{Front: program, Fronts: 3, Servers: 2, Lease: takeoverLease, Logs: t.TempDir()}, ledger: newLedger()}
	defer w.close()
	var book conc.WaitGroup
	book.Go(w.ledger.run)
	defer book.Wait()
	defer w.ledger.entries.Close()
	require.NoError(t, w.start())
	require.NoError(t, w.awaitReady(t.Context()))
	faults := map[string]struct{ begin, end func(f *front) }{
		"killed": {func(f *front) { f.child.Load().end() }, func(f *front) { require.NoError(t, w.launch(f)) }},
		"suspended": {
			func(f *front) { f.child.Load().signal(syscall.SIGSTOP) },
			func(f *front) { f.child.Load().signal(syscall.SIGCONT) },
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
	w.ledger.entries.Close()
	book.Wait()
	require.Empty(t, dutyBreaks(w.ledger.duties, w.ledger.times))
}
