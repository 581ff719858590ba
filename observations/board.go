package observations

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

const (
	// keepFor is how long an observation is handed on.
	keepFor = 2 * time.Second
	// minReporters is the number of processes that must have failed to connect to
	// an upstream: one alone may be cut off itself.
	minReporters = 2
)

// Observation is the load or the unreachability of an upstream, as observed by a
// process.
type Observation struct {
	Upstream core.UpstreamID
	// Load is the number of calls at the upstream. It is valid if HasLoad is set.
	Load    int
	HasLoad bool
	// Unreachable is set when a connection to the upstream failed.
	Unreachable bool
	// Reporter is the process whose connection failed. It is empty if the
	// observation combines the failures of several processes, or if the reporter
	// is the process that sends the observation.
	Reporter   core.NodeID
	ObservedAt time.Time
}

// entry is an observation with its origin and its place in the order of arrival.
type entry struct {
	Observation
	// via is the process that handed it in, which needs it no more.
	via    core.NodeID
	number uint64
}

// board holds the newest observations of many processes, numbered by arrival,
// so that each process gets only what it has not had. It performs no I/O.
type board struct {
	loads map[core.UpstreamID]entry
	// failures holds when each process last failed to connect.
	failures map[core.UpstreamID]map[core.NodeID]entry
	number   uint64
}

func newBoard() *board {
	return &board{
		loads: make(map[core.UpstreamID]entry), failures: make(map[core.UpstreamID]map[core.NodeID]entry),
	}
}

// take adds what a process hands in.
func (b *board) take(via core.NodeID, seen []Observation) {
	for _, o := range seen {
		if o.HasLoad && o.ObservedAt.After(b.loads[o.Upstream].ObservedAt) {
			b.loads[o.Upstream] = b.entry(via, Observation{Upstream: o.Upstream, Load: o.Load, HasLoad: true, ObservedAt: o.ObservedAt})
		}
		if !o.Unreachable {
			continue
		}
		if o.Reporter == "" {
			o.Reporter = via
		}
		reporters := b.failures[o.Upstream]
		if reporters == nil {
			reporters = make(map[core.NodeID]entry)
			b.failures[o.Upstream] = reporters
		}
		if o.ObservedAt.After(reporters[o.Reporter].ObservedAt) {
			reporters[o.Reporter] = b.entry(via, Observation{Upstream: o.Upstream, Unreachable: true, Reporter: o.Reporter, ObservedAt: o.ObservedAt})
		}
	}
}

func (b *board) entry(via core.NodeID, o Observation) entry {
	b.number++
	return entry{Observation: o, via: via, number: b.number}
}

// since returns what arrived after a number and did not come from the asker.
// Failures are told once enough processes have reported them; a process that
// collects for others gets each of them with its reporter.
func (b *board) since(now time.Time, asker core.NodeID, after uint64, collector bool) []Observation {
	b.forget(now)
	var out []Observation
	for _, e := range b.loads {
		if e.number > after && e.via != asker {
			out = append(out, e.Observation)
		}
	}
	for id, reporters := range b.failures {
		var last entry
		for _, e := range reporters {
			if collector && e.number > after && e.via != asker {
				out = append(out, e.Observation)
			}
			if e.number > last.number {
				last = e
			}
		}
		if !collector && len(reporters) >= minReporters && last.number > after {
			out = append(out, Observation{Upstream: id, Unreachable: true, ObservedAt: last.ObservedAt})
		}
	}
	return out
}

// forget drops what is too old.
func (b *board) forget(now time.Time) {
	for id, e := range b.loads {
		if now.Sub(e.ObservedAt) > keepFor {
			delete(b.loads, id)
		}
	}
	for id, reporters := range b.failures {
		for node, e := range reporters {
			if now.Sub(e.ObservedAt) > keepFor {
				delete(reporters, node)
			}
		}
		if len(reporters) == 0 {
			delete(b.failures, id)
		}
	}
}
