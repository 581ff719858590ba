// Package usage meters the calls of workspaces and reports them to the platform.
//
// Each process counts the calls that began to run at its upstreams, by workspace and
// window, and hands its cumulative counts to collectors, two other processes of the
// deployment. Every process is a collector for some others. The holder of the subject
// singleton.UsageSubject gathers the counts of a window from the collectors after its end,
// fixes the sum in the platform's store and then reports it. A window is fixed once, so
// that each report of it has the same counts.
//
// Meter and Reporter are duties; Book, Clock and plan are their state without I/O.
package usage

import (
	"maps"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Window is the number of a reporting period. Window k begins at k times the length of a
// window after the start of 1970.
type Window int64

// Counts are numbers of calls by workspace.
type Counts map[core.WorkspaceID]uint64

// Add adds counts.
func (c Counts) Add(more Counts) {
	for workspace, n := range more {
		c[workspace] += n
	}
}

// Source is the process that has served calls. A restarted process is another source.
type Source struct {
	Node        core.NodeID
	Incarnation core.Incarnation
}

// SourceReport contains cumulative counts of a source. Repeated and reordered reports
// are therefore harmless.
type SourceReport struct {
	Source
	// Through is the true time up to which calls are included, since 1970.
	Through time.Duration
	Windows map[Window]Counts
}

// WindowReport is what the platform receives for a window.
type WindowReport struct {
	Window Window
	Counts Counts
}

// Periods are the lengths of windows and of the time in which they are reported.
type Periods struct {
	// Window is the length of a window.
	Window time.Duration
	// Due is the time after the end of a window by which it must be reported.
	Due time.Duration
}

// windowAt returns the window that contains a point in true time.
func (p Periods) windowAt(t time.Duration) Window { return Window(t / p.Window) }

// end returns the true time at which a window ends.
func (p Periods) end(w Window) time.Duration { return time.Duration(w+1) * p.Window }

// retention is the time after the end of a window for which its counts are kept and its
// report is attempted.
func (p Periods) retention() time.Duration { return 3 * p.Due }

// settle is the time after the end of a window before its counts are gathered. Processes
// hand over what they have counted within this time.
func (p Periods) settle() time.Duration { return min(2*handoverInterval, p.Due/8) }

// gatherTime is the time after the end of a window for which the counts of processes that
// do not respond are awaited.
func (p Periods) gatherTime() time.Duration { return p.Due * 3 / 10 }

// Book contains the counts of sources that a process has received. One duty owns it.
type Book struct {
	periods Periods
	sources map[Source]*sourceCounts
}

type sourceCounts struct {
	through time.Duration
	windows map[Window]Counts
}

// maxSources is the maximum number of sources in a book.
const maxSources = 4096

// NewBook returns an empty book.
func NewBook(periods Periods) *Book {
	return &Book{periods: periods, sources: make(map[Source]*sourceCounts)}
}

// Merge adds a report at a point in true time. It ignores windows that are too old, or in
// the future because of a wrong clock.
func (b *Book) Merge(now time.Duration, r SourceReport) {
	s := b.sources[r.Source]
	if s == nil {
		if len(b.sources) >= maxSources {
			return
		}
		s = &sourceCounts{windows: make(map[Window]Counts)}
		b.sources[r.Source] = s
	}
	s.through = max(s.through, r.Through)
	for w, counts := range r.Windows {
		if b.isExpired(now, w) || b.periods.end(w) > now+2*b.periods.Window {
			continue
		}
		if s.windows[w] == nil {
			s.windows[w] = make(Counts, len(counts))
		}
		for workspace, n := range counts {
			s.windows[w][workspace] = max(s.windows[w][workspace], n)
		}
	}
}

func (b *Book) isExpired(now time.Duration, w Window) bool {
	return b.periods.end(w)+b.periods.retention() < now
}

// Prune removes windows that are too old and sources without any that no longer report.
func (b *Book) Prune(now time.Duration) {
	for source, s := range b.sources {
		maps.DeleteFunc(s.windows, func(w Window, _ Counts) bool { return b.isExpired(now, w) })
		if len(s.windows) == 0 && s.through+b.periods.retention() < now {
			delete(b.sources, source)
		}
	}
}

// Reports returns the reports of all sources for a window.
func (b *Book) Reports(w Window) []SourceReport {
	reports := make([]SourceReport, 0, len(b.sources))
	for source, s := range b.sources {
		r := SourceReport{Source: source, Through: s.through}
		if counts := s.windows[w]; len(counts) > 0 {
			r.Windows = map[Window]Counts{w: maps.Clone(counts)}
		}
		reports = append(reports, r)
	}
	return reports
}

// Total returns the counts of a window over all sources.
func (b *Book) Total(w Window) Counts {
	total := make(Counts)
	for _, s := range b.sources {
		total.Add(s.windows[w])
	}
	return total
}

// Missing returns the nodes whose counts of a window are not complete.
func (b *Book) Missing(w Window, nodes []core.NodeID) (missing []core.NodeID) {
	complete := make(map[core.NodeID]bool)
	for source, s := range b.sources {
		if s.through >= b.periods.end(w) {
			complete[source.Node] = true
		}
	}
	for _, node := range nodes {
		if !complete[node] {
			missing = append(missing, node)
		}
	}
	return missing
}
