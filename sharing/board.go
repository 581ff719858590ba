// Package sharing spreads what each process sees of upstreams. One process
// collects the observations of all and hands each the newest ones, so that the
// number of messages grows with the number of processes, not with its square.
package sharing

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

// Observation is what a process has seen of an upstream.
type Observation struct {
	Upstream core.UpstreamID
	// Load is the number of calls at the upstream when HasLoad is set.
	Load    int
	HasLoad bool
	// Unreachable is set when no connection could be made.
	Unreachable bool
	At          time.Time
}

// board holds the newest observations of all processes. It performs no I/O.
type board struct {
	loads map[core.UpstreamID]Observation
	// failures holds when each process last failed to connect.
	failures map[core.UpstreamID]map[core.NodeID]time.Time
}

func newBoard() *board {
	return &board{
		loads: make(map[core.UpstreamID]Observation), failures: make(map[core.UpstreamID]map[core.NodeID]time.Time),
	}
}

// take adds what a process has seen.
func (b *board) take(from core.NodeID, seen []Observation) {
	for _, o := range seen {
		if o.HasLoad && o.At.After(b.loads[o.Upstream].At) {
			b.loads[o.Upstream] = Observation{Upstream: o.Upstream, Load: o.Load, HasLoad: true, At: o.At}
		}
		if !o.Unreachable {
			continue
		}
		if b.failures[o.Upstream] == nil {
			b.failures[o.Upstream] = make(map[core.NodeID]time.Time)
		}
		b.failures[o.Upstream][from] = o.At
	}
}

// newest returns what is known of each upstream, and forgets what is too old.
func (b *board) newest(now time.Time) []Observation {
	var out []Observation
	for id, o := range b.loads {
		if now.Sub(o.At) > keepFor {
			delete(b.loads, id)
			continue
		}
		out = append(out, o)
	}
	for id, reporters := range b.failures {
		var last time.Time
		for node, at := range reporters {
			if now.Sub(at) > keepFor {
				delete(reporters, node)
			} else if at.After(last) {
				last = at
			}
		}
		if len(reporters) == 0 {
			delete(b.failures, id)
		}
		if len(reporters) >= minReporters {
			out = append(out, Observation{Upstream: id, Unreachable: true, At: last})
		}
	}
	return out
}
