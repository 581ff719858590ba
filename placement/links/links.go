// Package links estimates which links of kept-cache stores are slow. Each process observes
// the delays of the transfers that it has ordered, and receives the sums of those that the
// other processes have observed. The package performs no I/O and reads no clock.
package links

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// window is the time in which the weight of an observed delay falls to 1/e.
	window = 700 * time.Millisecond
	// fadeAfter and fadeTime determine the weight of a report by its age: it is full until
	// fadeAfter, and zero fadeTime later. Exchanges are 200 ms apart, and a report passes two
	// collectors.
	fadeAfter = 600 * time.Millisecond
	fadeTime  = 600 * time.Millisecond
	// maxDelayMs is the maximum delay that is observed and estimated. Upstreams do not start
	// transfers that would wait for longer.
	maxDelayMs = 2000
	// priorTransfers is the number of transfers without delay that are assumed beside the
	// observed ones. A link that is not used because of its delay is therefore tried again.
	priorTransfers = 3
	// commonFactor and marginMs determine the delay that is not attributed to a link: that
	// factor times the median of all links, plus the margin. Transfers to engines that are
	// late for other reasons are delayed at all links alike.
	commonFactor = 2
	marginMs     = 30
	// maxReported is the maximum number of links in a report, and minTransfers the smallest
	// number of transfers of a link that is reported.
	maxReported  = 16
	minTransfers = 0.01
)

// ID identifies a link in reports. It is a hash of the address, so that reports are small.
type ID uint32

// IDOf returns the ID of the link at an address.
func IDOf(address string) ID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(address)) // never fails
	return ID(h.Sum32())
}

// Delays is what a group of processes has observed of a link recently: the number of
// transfers and the sum of their delays beyond the expected time. Earlier transfers have less
// weight.
type Delays struct {
	Link      ID
	Transfers float64
	DelayMs   float64
}

// plus returns the sum of two observations with a weight for the second one.
func (d Delays) plus(other Delays, weight float64) Delays {
	d.Transfers += weight * other.Transfers
	d.DelayMs += weight * other.DelayMs
	return d
}

// Sum returns the sums by link of reports with a weight for each, in descending order of the
// transfers.
func Sum(reports [][]Delays, weights []float64) []Delays {
	sums := make(map[ID]Delays)
	for i, report := range reports {
		for _, d := range report {
			sums[d.Link] = sums[d.Link].plus(d, weights[i])
		}
	}
	out := make([]Delays, 0, len(sums))
	for id, sum := range sums {
		sum.Link = id
		out = append(out, sum)
	}
	return used(out)
}

// used returns the delays of links with enough transfers, in descending order of the
// transfers. It reorders its argument.
func used(all []Delays) []Delays {
	all = slices.DeleteFunc(all, func(d Delays) bool { return !(d.Transfers >= minTransfers) })
	slices.SortFunc(all, func(a, b Delays) int {
		return cmp.Or(cmp.Compare(b.Transfers, a.Transfers), cmp.Compare(a.Link, b.Link))
	})
	return all
}

// Reported returns the delays that are reported. If there are many links, half of them are
// the most used ones, from which the common delay is known, and half those with the most
// delay of the others: a slow link is avoided and has few transfers. It reorders its argument.
func Reported(all []Delays) []Delays {
	all = used(all)
	if len(all) <= maxReported {
		return all
	}
	slices.SortFunc(all[maxReported/2:], func(a, b Delays) int {
		return cmp.Or(cmp.Compare(b.DelayMs, a.DelayMs), cmp.Compare(a.Link, b.Link))
	})
	return all[:maxReported]
}

// Weight returns the weight of a report by its age. A process that is frozen, dead or cut off
// does not count for long.
func Weight(age time.Duration) float64 {
	return min(max(1-float64(age-fadeAfter)/float64(fadeTime), 0), 1)
}

// Links is the state of all links as known to one process.
type Links struct {
	own map[ID]ownDelays
	// others are the observations of the other processes as of othersAt.
	others   []Delays
	othersAt time.Time
}

// ownDelays are the observations of this process as of at.
type ownDelays struct {
	Delays
	at time.Time
}

// New returns the state of links that have not been observed.
func New() *Links { return &Links{own: make(map[ID]ownDelays)} }

func (o ownDelays) current(now time.Time) Delays {
	weight := math.Exp(-now.Sub(o.at).Seconds() / window.Seconds())
	return Delays{Link: o.Link, Transfers: o.Transfers * weight, DelayMs: o.DelayMs * weight}
}

// Observe records the delay of a finished transfer beyond its expected time.
func (l *Links) Observe(now time.Time, id ID, delayMs float64) {
	sum := l.own[id].current(now).plus(One(id, delayMs), 1)
	sum.Link = id
	l.own[id] = ownDelays{Delays: sum, at: now}
}

// One returns the observation of one transfer. A delay that is not a number counts as none.
func One(id ID, delayMs float64) Delays {
	if math.IsNaN(delayMs) {
		delayMs = 0
	}
	return Delays{Link: id, Transfers: 1, DelayMs: min(max(delayMs, 0), maxDelayMs)}
}

// Own returns the observations of this process with those of pending transfers, which are
// delayed at least until now. It forgets links without recent transfers.
func (l *Links) Own(now time.Time, pending []Delays) []Delays {
	finished := make([]Delays, 0, len(l.own))
	for id, o := range l.own {
		if current := o.current(now); current.Transfers >= minTransfers {
			finished = append(finished, current)
		} else {
			delete(l.own, id)
		}
	}
	return Sum([][]Delays{finished, pending}, []float64{1, 1})
}

// SetOthers replaces the observations of the other processes.
func (l *Links) SetOthers(now time.Time, others []Delays) { l.others, l.othersAt = others, now }

// DelayMs estimates for each link how much longer than expected, in milliseconds, a new
// transfer takes because of the link. Links that are not slow are left out. pending are this
// process's overdue transfers.
func (l *Links) DelayMs(now time.Time, pending []Delays) map[ID]float64 {
	all := Sum([][]Delays{l.Own(now, pending), l.others}, []float64{1, Weight(now.Sub(l.othersAt))})
	means := make([]float64, len(all))
	for i, d := range all {
		means[i] = d.DelayMs / (d.Transfers + priorTransfers)
	}
	common := commonFactor*median(means) + marginMs
	out := make(map[ID]float64)
	for i, d := range all {
		if means[i] > common {
			out[d.Link] = min(means[i]-common, maxDelayMs)
		}
	}
	return out
}

// median returns the lower median of values, or 0 if there are none. A single link is not
// compared with itself.
func median(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
