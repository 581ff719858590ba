package usage

import (
	"maps"
	"time"
)

// plan is what the holder knows of the windows to report. It makes no calls.
type plan struct {
	periods Periods
	// begun is set when reportedThrough is known.
	begun bool
	// reportedThrough is the last window for which this and all earlier ones need no
	// further report.
	reportedThrough Window
	// fixed contains the counts of windows that were written to the store, in this process
	// or as read from it. They never change.
	fixed map[Window]Counts
	// proposed contains counts whose write was not confirmed. They are proposed again
	// without a change, since the write may have taken effect.
	proposed map[Window]Counts
	reported map[Window]bool
	// fixableFrom is the first window that may be fixed if its row does not exist. An
	// earlier window may have been fixed and reported in lost content of the store.
	fixableFrom Window
}

func newPlan(periods Periods) *plan {
	return &plan{periods: periods, fixed: make(map[Window]Counts), proposed: make(map[Window]Counts), reported: make(map[Window]bool)}
}

// restoreGuard is the largest difference between the clocks of two processes that the rule
// of fixableFrom allows for.
const restoreGuard = time.Second

// load records the rows of the store after this process has become the holder or its fence
// has risen, and the true time at which this process first observed the generation of the
// store's content. Counts that this process has fixed itself stay known if the store has
// lost them. Rows without counts are those of an older generation: a late write of an earlier
// holder may have changed them after the restore, so that their counts may differ from those
// that were reported. A process that has held the lease without interruption knows that no other one
// has fixed a window meanwhile, and keeps its proposals.
func (p *plan) load(rows []fixedRow, generationSince time.Duration, uninterrupted bool) {
	if !uninterrupted {
		clear(p.proposed)
		p.fixableFrom = p.periods.windowAt(generationSince + restoreGuard)
	}
	for _, row := range rows {
		if _, known := p.fixed[row.Window]; !known && row.Counts != nil {
			p.fixed[row.Window] = row.Counts
		}
		p.setReportedThrough(row.reportedThrough)
	}
	if !p.begun && len(p.fixed) == 0 {
		p.setReportedThrough(p.fixableFrom - 1)
	}
	for w := range p.fixed {
		if !p.begun {
			p.setReportedThrough(w - 1)
		}
	}
}

// setReportedThrough advances reportedThrough.
func (p *plan) setReportedThrough(w Window) {
	if !p.begun || w > p.reportedThrough {
		p.begun, p.reportedThrough = true, w
	}
	p.forgetReported()
}

// forgetReported removes what is no longer needed: all but the last of the reported windows.
func (p *plan) forgetReported() {
	old := func(w Window) bool { return w < p.reportedThrough }
	maps.DeleteFunc(p.fixed, func(w Window, _ Counts) bool { return old(w) })
	maps.DeleteFunc(p.proposed, func(w Window, _ Counts) bool { return old(w) })
	maps.DeleteFunc(p.reported, func(w Window, _ bool) bool { return w <= p.reportedThrough })
}

// task is what is due for a window.
type task uint8

const (
	// fix means that the counts must be gathered and fixed.
	fix task = iota
	// send means that the fixed counts must be reported.
	send
	// skip means that the window is not reported.
	skip
)

// dueWindow is a window for which something must be done.
type dueWindow struct {
	window Window
	task   task
	// cause states why a window is skipped.
	cause string
}

// Causes of windows that are not reported.
const (
	causeLostContent = "the window ended before this process observed this generation of the store, and has no row"
	causeTooLate     = "the windows were not reported within three times their due time"
	causeRejected    = "the platform rejected the report"
)

// skipExpired gives up the windows that are too old to be reported, and returns their number.
func (p *plan) skipExpired(now time.Duration) (missing int) {
	lastExpired := p.periods.windowAt(now-p.periods.retention()) - 1
	if !p.begun || lastExpired <= p.reportedThrough {
		return 0
	}
	missing = int(lastExpired - p.reportedThrough)
	for w := range p.reported {
		if w <= lastExpired {
			missing--
		}
	}
	p.setReportedThrough(lastExpired)
	return missing
}

// due returns the windows for which something must be done, oldest first.
func (p *plan) due(now time.Duration) (due []dueWindow) {
	if !p.begun {
		return nil
	}
	for w := p.reportedThrough + 1; p.periods.end(w)+p.periods.settle() <= now; w++ {
		if p.reported[w] {
			continue
		}
		_, isFixed := p.fixed[w]
		switch {
		case isFixed:
			due = append(due, dueWindow{window: w, task: send})
		case w < p.fixableFrom:
			due = append(due, dueWindow{window: w, task: skip, cause: causeLostContent})
		default:
			due = append(due, dueWindow{window: w, task: fix})
		}
	}
	return due
}

// mayFix reports whether the counts of a window may be fixed, given whether those of all
// processes are present.
func (p *plan) mayFix(now time.Duration, w Window, complete bool) bool {
	return complete || now >= p.periods.end(w)+p.periods.gatherTime()
}

// propose returns the counts to write for a window: those of an earlier proposal, or new ones.
func (p *plan) propose(w Window, gathered Counts) Counts {
	if counts, ok := p.proposed[w]; ok {
		return counts
	}
	p.proposed[w] = gathered
	return gathered
}

// recordFixed records that the proposed counts of a window were written.
func (p *plan) recordFixed(w Window) {
	p.fixed[w] = p.proposed[w]
	delete(p.proposed, w)
}

// recordDone records that a window needs no further report.
func (p *plan) recordDone(w Window) {
	p.reported[w] = true
	for p.reported[p.reportedThrough+1] {
		p.setReportedThrough(p.reportedThrough + 1)
	}
}
