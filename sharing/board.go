package sharing

import (
	"time"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
)

const (
	// observationTTL is the maximum age of an observation on the board.
	observationTTL = 2 * time.Second
	// rateTTL is the maximum age of an announced rate on the board, which is confirmed
	// every rateConfirmInterval while the upstream announces it.
	rateTTL             = 10 * time.Second
	rateConfirmInterval = time.Second
	// minReporters is the number of processes that must have failed to connect to
	// an upstream before it is reported as unreachable. If only one process failed,
	// the process may be disconnected from the network instead of the upstream.
	minReporters = 2
)

// Observation is the load, the announced rate, the unreachability or the announced
// departure of an upstream, as observed by a process.
type Observation struct {
	Upstream core.UpstreamID
	// Load is the number of calls at the upstream. It is valid if HasLoad is set.
	Load    int
	HasLoad bool
	// Waiting is the number of these calls that wait at the upstream.
	Waiting int
	// Slowdown is the ratio of the time of work at the upstream to the usual time, as the
	// upstream announces it. SlowdownSample is the ratio that one response has shown. They
	// are 0 if there is none.
	Slowdown       float64
	SlowdownSample float64
	// RateLimit is the rate that the upstream announces. It is valid if HasRateLimit
	// is set.
	RateLimit    core.RateLimit
	HasRateLimit bool
	// Unreachable is set when a connection to the upstream failed.
	Unreachable bool
	// Leaving is set when the incarnation of the upstream that started at StartedAtMs
	// announces that it leaves.
	Leaving     bool
	StartedAtMs int64
	// Reporter is the process whose connection failed or that received the
	// announcement. It is empty if the observation combines the failures of several
	// processes, or if the reporter is the process that sends the observation.
	Reporter   core.NodeID
	ObservedAt time.Time
}

// ContainsLoad reports whether the observation contains the load or the slowdown of an
// upstream.
func (o Observation) ContainsLoad() bool {
	return o.HasLoad || o.Slowdown > 0 || o.SlowdownSample > 0
}

// loadOnly returns the observation with the load and the slowdown alone.
func (o Observation) loadOnly() Observation {
	return Observation{
		Upstream: o.Upstream, Load: o.Load, HasLoad: o.HasLoad, Waiting: o.Waiting,
		Slowdown: o.Slowdown, SlowdownSample: o.SlowdownSample, ObservedAt: o.ObservedAt,
	}
}

// numberedObservation is an observation on the board.
type numberedObservation struct {
	Observation
	// sender is the process that sent the observation to the board. The board does
	// not return the observation to it.
	sender core.NodeID
	// number is the position of the observation in the sequence of arrivals.
	number uint64
}

// board stores the newest observations of many processes. It numbers them by
// arrival, so that each process receives only observations that are new to it. It
// performs no I/O.
type board struct {
	loads map[core.UpstreamID]numberedObservation
	rates map[core.UpstreamID]numberedObservation
	// failures contains the last failed connection to each upstream by reporter.
	failures     map[core.UpstreamID]map[core.NodeID]numberedObservation
	evidence     evidenceBoard
	verdicts     evidenceStore[verdictKey, canary.Verdict]
	departures   evidenceStore[quarantine.Incarnation, Observation]
	linkDelays   linkBoard
	backlogs     *backlog.Board
	newestNumber uint64
}

func newBoard() *board {
	return &board{
		loads: make(map[core.UpstreamID]numberedObservation), rates: make(map[core.UpstreamID]numberedObservation), failures: make(map[core.UpstreamID]map[core.NodeID]numberedObservation),
		evidence: newEvidenceBoard(), verdicts: make(evidenceStore[verdictKey, canary.Verdict]),
		departures: make(evidenceStore[quarantine.Incarnation, Observation]), linkDelays: make(linkBoard), backlogs: backlog.NewBoard(),
	}
}

// add stores the observations that a process has sent, unless the board contains
// newer ones.
func (b *board) add(sender core.NodeID, observations []Observation) {
	for _, o := range observations {
		if o.ContainsLoad() && o.ObservedAt.After(b.loads[o.Upstream].ObservedAt) {
			b.loads[o.Upstream] = b.assignNumber(sender, o.loadOnly())
		}
		if o.HasRateLimit && b.isNewRate(o) {
			b.rates[o.Upstream] = b.assignNumber(sender, Observation{Upstream: o.Upstream, RateLimit: o.RateLimit, HasRateLimit: true, ObservedAt: o.ObservedAt})
		}
		if !o.Unreachable {
			continue
		}
		if o.Reporter == "" {
			o.Reporter = sender
		}
		reporters := b.failures[o.Upstream]
		if reporters == nil {
			reporters = make(map[core.NodeID]numberedObservation)
			b.failures[o.Upstream] = reporters
		}
		if o.ObservedAt.After(reporters[o.Reporter].ObservedAt) {
			reporters[o.Reporter] = b.assignNumber(sender, Observation{Upstream: o.Upstream, Unreachable: true, Reporter: o.Reporter, ObservedAt: o.ObservedAt})
		}
	}
}

// isNewRate reports whether an announced rate is newer and either differs from the one
// on the board or confirms it after rateConfirmInterval.
func (b *board) isNewRate(o Observation) bool {
	stored, ok := b.rates[o.Upstream]
	age := o.ObservedAt.Sub(stored.ObservedAt)
	return !ok || age > 0 && (stored.RateLimit != o.RateLimit || age >= rateConfirmInterval)
}

// assignNumber returns an observation with the next number.
func (b *board) assignNumber(sender core.NodeID, o Observation) numberedObservation {
	b.newestNumber++
	return numberedObservation{Observation: o, sender: sender, number: b.newestNumber}
}

// newObservations returns the observations that arrived after the given number and
// that the requester did not send. A collector receives each failed connection with
// its reporter. Any other requester receives one observation for an upstream to
// which at least minReporters processes failed to connect, even if the requester is
// one of the reporters.
func (b *board) newObservations(now time.Time, requester core.NodeID, afterNumber uint64, forCollector bool) []Observation {
	b.removeExpired(now)
	var out []Observation
	for _, o := range b.loads {
		if o.number > afterNumber && o.sender != requester {
			out = append(out, o.Observation)
		}
	}
	for _, o := range b.rates {
		if o.number > afterNumber && (o.sender != requester || afterNumber == 0) {
			out = append(out, o.Observation)
		}
	}
	for id, reporters := range b.failures {
		var newest numberedObservation
		for _, o := range reporters {
			if forCollector && o.number > afterNumber && o.sender != requester {
				out = append(out, o.Observation)
			}
			if o.number > newest.number {
				newest = o
			}
		}
		if !forCollector && len(reporters) >= minReporters && newest.number > afterNumber {
			out = append(out, Observation{Upstream: id, Unreachable: true, ObservedAt: newest.ObservedAt})
		}
	}
	return append(out, b.departures.newFor(now, requester, afterNumber)...)
}

// addDepartures stores the announced departures that a process has sent. A departure
// does not end, so that a repeated one is new only after the first has expired.
func (b *board) addDepartures(now time.Time, sender core.NodeID, observations []Observation) {
	for _, o := range observations {
		key := quarantine.Incarnation{Upstream: o.Upstream, StartedAtMs: o.StartedAtMs}
		stored, ok := b.departures[key]
		if !o.Leaving || ok && now.Sub(stored.addedAt) <= evidenceTTL {
			continue
		}
		if o.Reporter == "" {
			o.Reporter = sender
		}
		b.departures.put(key, numberEvidence(b, now, sender, Observation{
			Upstream: o.Upstream, Leaving: true, StartedAtMs: o.StartedAtMs, Reporter: o.Reporter, ObservedAt: o.ObservedAt,
		}))
	}
}

// removeExpired removes the observations that are older than observationTTL.
func (b *board) removeExpired(now time.Time) {
	for id, o := range b.loads {
		if now.Sub(o.ObservedAt) > observationTTL {
			delete(b.loads, id)
		}
	}
	for id, o := range b.rates {
		if now.Sub(o.ObservedAt) > rateTTL {
			delete(b.rates, id)
		}
	}
	for id, reporters := range b.failures {
		for node, o := range reporters {
			if now.Sub(o.ObservedAt) > observationTTL {
				delete(reporters, node)
			}
		}
		if len(reporters) == 0 {
			delete(b.failures, id)
		}
	}
}
