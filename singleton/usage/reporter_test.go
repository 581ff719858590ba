package usage

import (
	"context"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/singleton"
)

var testPeriods = Periods{Window: 5 * time.Second, Due: 10 * time.Second}

const (
	crew        = core.WorkspaceID("crew")
	firstWindow = Window(1000)
)

func testLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// world is a deployment with a store, a platform, and holders that follow one another.
type world struct {
	t          *testing.T
	rows       map[string][]byte
	generation core.Generation
	// since is the true time at which processes observed the generation.
	since time.Duration
	// holder is the fence of the holder in the store.
	holder core.Fence
	// calls is what the next gathering returns for crew.
	calls uint64
	// missing are the nodes whose counts the next gathering lacks.
	missing                  []core.NodeID
	storeError, commitError  error
	loseCommits, platformOff bool
	loseAnswers              bool
	// accepted contains the reports that the platform has accepted, received their number.
	accepted map[Window]Counts
	received int
	fence    core.Fence
}

func newWorld(t *testing.T) *world {
	return &world{t: t, rows: make(map[string][]byte), since: testPeriods.end(firstWindow), calls: 7, accepted: make(map[Window]Counts)}
}

// process is one process with a reporter.
type process struct {
	*world
	reporter *Reporter
	clock    *Clock
	fence    core.Fence
	// since is when the process became the holder.
	since time.Duration
	holds bool
}

// become starts a process that becomes the holder at a point in true time.
func (w *world) become(at time.Duration) *process {
	w.holder++
	p := &process{world: w, fence: w.holder, since: time.Duration(w.holder), holds: true, clock: &Clock{}}
	r, err := NewReporter(ReporterOptions{Periods: testPeriods, Leases: p, Store: w, Platform: p, Gatherer: w, Clock: p.clock, Log: testLog(), Meter: noop.Meter{}})
	require.NoError(w.t, err)
	p.reporter = r
	p.runAt(at)
	return p
}

// runAt lets the process do what is due at a point in true time.
func (p *process) runAt(at time.Duration) {
	p.clock.offset.Store(int64(at - clock.SinceBoot()))
	p.reporter.retryAt = 0
	if a, ok := p.Authority(singleton.UsageSubject); ok {
		p.reporter.step(p.t.Context(), a)
	}
}

func (p *process) SetSubjects([]singleton.Subject) {}

func (p *process) Subscribe() *ring.Ring[struct{}] { return ring.New[struct{}](1) }

func (p *process) Authority(singleton.Subject) (singleton.Authority, bool) {
	now := clock.SinceBoot()
	return singleton.Authority{Subject: singleton.UsageSubject, Holder: "a", Fence: p.fence, Since: p.since, StopAt: now + time.Minute}, p.holds
}

func (p *process) GenerationSince() (core.Generation, time.Duration) {
	return p.generation, p.world.since - time.Duration(p.clock.offset.Load())
}

func (p *process) Commit(_ context.Context, a singleton.Authority, generation core.Generation, tx fleet.Transaction) error {
	switch {
	case p.commitError != nil:
		return p.commitError
	case a.Fence != p.holder:
		return errs.New(errs.Stale, "", "not the holder")
	case generation != p.generation:
		return errs.New(errs.Conflict, "", "restored")
	}
	for _, row := range tx.Puts {
		p.rows[row.Key] = row.Value
	}
	for _, row := range tx.Removes {
		delete(p.rows, row.Key)
	}
	if p.loseCommits {
		return errs.New(errs.Unknown, "", "response lost")
	}
	return nil
}

func (p *process) ReportUsage(_ context.Context, a singleton.Authority, r WindowReport) error {
	if p.platformOff {
		return errs.New(errs.Unknown, "", "no connection")
	}
	require.GreaterOrEqual(p.t, a.Fence, p.world.fence, "a lower fence after a higher one")
	p.world.fence = a.Fence
	if old, ok := p.accepted[r.Window]; ok {
		require.Equal(p.t, old, r.Counts, "window %d was reported with other counts", r.Window)
	}
	p.accepted[r.Window] = maps.Clone(r.Counts)
	p.received++
	if p.loseAnswers {
		return errs.New(errs.Unknown, "", "answer lost")
	}
	return nil
}

// Gather returns other counts each time, as happens when counts arrive late.
func (w *world) Gather(context.Context, Window) (Counts, []core.NodeID) {
	w.calls++
	return Counts{crew: w.calls}, w.missing
}

func (w *world) Rows(context.Context, fleet.Table) (fleet.StoreResponse, error) {
	response := fleet.StoreResponse{Generation: w.generation}
	for key, value := range w.rows {
		response.Rows = append(response.Rows, fleet.Row{Table: Table, Key: key, Value: value, Version: 1})
	}
	return response, w.storeError
}

func (w *world) Changes(context.Context, fleet.Table, uint64, time.Duration) (fleet.StoreResponse, error) {
	return fleet.StoreResponse{}, nil
}

func (w *world) Commit(context.Context, fleet.Transaction) (fleet.StoreResponse, error) {
	return fleet.StoreResponse{}, nil
}

// after returns a time at which the given window has just become due.
func after(w Window) time.Duration {
	return testPeriods.end(w) + testPeriods.settle() + time.Millisecond
}

// Guards against windows that are skipped or repeated without a fault, and against rows
// that accumulate in the store.
func TestEachWindowIsReportedOnce(t *testing.T) {
	w := newWorld(t)
	p := w.become(w.since)
	for i := range Window(20) {
		p.runAt(after(firstWindow + i))
	}
	require.Len(t, w.accepted, 20-1, "the window of the first observation is not reported")
	require.Equal(t, 19, w.received)
	require.LessOrEqual(t, len(w.rows), 3)
	require.LessOrEqual(t, len(p.reporter.plan.fixed), 2)
}

// Guards against a window that stays unreported, or is reported with other counts, when the
// holder dies after it has fixed the counts and before it has sent them.
func TestHolderDiesBeforeSending(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.platformOff = true
	a.runAt(after(firstWindow + 1))
	fixed := a.reporter.plan.fixed[firstWindow+1]
	require.NotEmpty(t, fixed)
	w.platformOff = false
	w.become(after(firstWindow+1) + 6*time.Second)
	require.Equal(t, fixed, w.accepted[firstWindow+1])
}

// Guards against other counts for a window whose report had taken effect when the holder
// died before it received the answer.
func TestHolderDiesAfterSending(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.loseAnswers = true
	a.runAt(after(firstWindow + 1))
	require.Len(t, w.accepted, 1)
	w.loseAnswers = false
	w.become(after(firstWindow+1) + 6*time.Second)
	require.Equal(t, 2+1, w.received, "the repetition and the next window")
}

// Guards against windows that the next holder reports again although the last holder had
// recorded that they were reported.
func TestHolderDiesAfterRecording(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	for i := range Window(4) {
		a.runAt(after(firstWindow + i))
	}
	received := w.received
	w.become(after(firstWindow+3) + time.Millisecond)
	require.Equal(t, received+1, w.received, "only the report of the last window, whose answer is not recorded, is repeated")
}

// Guards against a report by a process that is no longer the holder, after a freeze in which
// another process has reported the window.
func TestHolderFreezesOverTheEndOfItsLease(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	b := w.become(after(firstWindow + 1))
	a.runAt(after(firstWindow + 1)) // still believes to be the holder; the store refuses
	require.Equal(t, 1, w.received)
	a.holds = false
	a.runAt(after(firstWindow + 2))
	b.runAt(after(firstWindow + 2))
	require.Equal(t, 2, w.received)
}

// Guards against a report whose counts are not fixed, and against a window that is given up,
// while the holder cannot reach the store.
func TestHolderIsCutOffFromTheStore(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.commitError = errs.New(errs.Unknown, "", "no connection")
	a.runAt(after(firstWindow + 1))
	a.runAt(after(firstWindow+1) + time.Second)
	require.Empty(t, w.accepted)
	w.commitError = nil
	a.runAt(after(firstWindow+1) + 2*time.Second)
	require.Contains(t, w.accepted, firstWindow+1)
}

// Guards against windows that are given up because they ended while the store was away and
// the lease had ended: the next holder reports them late, and those that the last holder had
// fixed without a confirmation with the same counts.
func TestStoreIsAwayBeyondTheLease(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.loseCommits = true
	a.runAt(after(firstWindow + 1))
	written, err := decodeFixedRow(w.rows[rowKey(0, firstWindow+1)])
	require.NoError(t, err)
	w.loseCommits, a.holds = false, false
	w.become(after(firstWindow + 4))
	require.Equal(t, written.Counts, w.accepted[firstWindow+1])
	for window := firstWindow + 2; window <= firstWindow+4; window++ {
		require.Contains(t, w.accepted, window)
	}
}

// Guards against other counts for a window whose first write to the store had taken effect
// without a response.
func TestResponseOfTheStoreIsLost(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.loseCommits = true
	a.runAt(after(firstWindow + 1))
	require.Empty(t, w.accepted, "the counts are not known to be fixed")
	written, err := decodeFixedRow(w.rows[rowKey(0, firstWindow+1)])
	require.NoError(t, err)
	w.loseCommits = false
	a.runAt(after(firstWindow+1) + time.Second)
	require.Equal(t, written.Counts, w.accepted[firstWindow+1])
}

// Guards against a window that is given up, and against later windows that wait for it,
// while the holder cannot reach the platform.
func TestHolderIsCutOffFromThePlatform(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.platformOff = true
	a.runAt(after(firstWindow + 1))
	a.runAt(after(firstWindow + 2))
	w.platformOff = false
	a.runAt(after(firstWindow+2) + time.Second)
	require.Len(t, w.accepted, 2)
}

// Guards against other counts for a window that was fixed and reported in content that the
// store has lost: by the same holder, and by one that does not know of it.
func TestStoreReturnsFromAnOlderCopy(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	older := maps.Clone(w.rows)
	a.runAt(after(firstWindow + 1))
	reported := w.accepted[firstWindow+1]
	require.NotEmpty(t, reported)
	restore := func(at time.Duration) {
		w.rows, w.since = maps.Clone(older), at
		w.generation++
	}
	restore(after(firstWindow+1) + time.Second)
	a.fence, w.holder = w.holder+1, w.holder+1 // the first renewal in a generation
	a.runAt(after(firstWindow + 2))
	require.Contains(t, w.accepted, firstWindow+2)
	restore(after(firstWindow+2) + time.Second)
	w.become(after(firstWindow + 5)) // the platform fake refuses other counts
	require.Equal(t, reported, w.accepted[firstWindow+1])
	require.Contains(t, w.accepted, firstWindow+5)
}

// Guards against counts of a row of an older generation that a late write of an earlier
// holder has changed after the restore. spec/usage.pml found the sequence.
func TestRowsOfOlderGenerationsAreNotReported(t *testing.T) {
	w := newWorld(t)
	first := w.become(w.since)
	w.commitError = errs.New(errs.Unknown, "", "performed later")
	first.runAt(after(firstWindow + 1))
	late, err := fixedRow{WindowReport: WindowReport{Window: firstWindow + 1, Counts: first.reporter.plan.proposed[firstWindow+1]}, reportedThrough: firstWindow}.encode()
	require.NoError(t, err)
	w.commitError = nil
	w.become(after(firstWindow+1) + time.Second)
	require.Contains(t, w.accepted, firstWindow+1)
	w.generation, w.since = 1, after(firstWindow+1)+2*time.Second
	w.rows = map[string][]byte{rowKey(0, firstWindow+1): late}
	w.become(after(firstWindow + 4)) // the platform fake refuses other counts
	require.Contains(t, w.accepted, firstWindow+4)
}

// Guards against a window that no process reports because a process that was the holder all
// the time treats it as one of lost content.
func TestHolderKeepsItsWindowOverARestore(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	a.runAt(after(firstWindow + 1))
	w.generation, w.since = 1, after(firstWindow+2)
	a.fence, w.holder = 2, 2 // the first renewal in a generation
	a.runAt(after(firstWindow+2) + 500*time.Millisecond)
	require.Contains(t, w.accepted, firstWindow+2)
}

// Guards against fixed counts that nobody reports, and against the report of windows that
// may have been reported, after all processes have restarted at once.
func TestAllProcessesRestart(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.platformOff = true
	a.runAt(after(firstWindow + 1))
	w.platformOff = false
	w.since = after(firstWindow+1) + 4500*time.Millisecond
	w.become(after(firstWindow + 4))
	require.Contains(t, w.accepted, firstWindow+1)
	require.Contains(t, w.accepted, firstWindow+4)
}

// Guards against a window that waits for the counts of a dead process, and against one that
// is fixed before live processes have handed theirs over.
func TestWaitsForMissingCountsOnlyForAWhile(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.missing = []core.NodeID{"b"}
	a.runAt(after(firstWindow + 1))
	require.Empty(t, w.accepted)
	a.runAt(testPeriods.end(firstWindow+1) + testPeriods.gatherTime())
	require.Contains(t, w.accepted, firstWindow+1)
}

// Guards against a window that is attempted without end, and blocks the others.
func TestWindowIsGivenUpLate(t *testing.T) {
	w := newWorld(t)
	a := w.become(w.since)
	w.platformOff = true
	a.runAt(after(firstWindow + 1))
	w.platformOff = false
	last := firstWindow + 5000
	a.runAt(after(last))
	require.NotContains(t, w.accepted, firstWindow+1)
	require.Contains(t, w.accepted, last)
}
