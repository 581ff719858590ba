package placement

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

const (
	// loadHalfLife is the time in which a report of an upstream's load loses
	// half of its weight.
	loadHalfLife = 1500 * time.Millisecond
	// faultHalfLife is the time in which an upstream's past failures lose half
	// of their weight.
	faultHalfLife = 3 * time.Second
	// faultGain is the weight of one result in the share of failures.
	faultGain = 0.25
	// suspectShare is the share of failures from which an upstream gets only
	// occasional calls.
	suspectShare = 0.4
	// trialInterval is the time between two calls to a suspect upstream.
	trialInterval = 700 * time.Millisecond
	// unreachableFor is how long an upstream is left alone after a failed
	// connection; it doubles up to unreachableMost.
	unreachableFor  = 400 * time.Millisecond
	unreachableMost = 1600 * time.Millisecond
	// refusingFor is how long an upstream is avoided after it refused a call.
	refusingFor = 150 * time.Millisecond
	// residentShare is the share of an engine's cache that is assumed to hold
	// the parts last read there.
	residentShare = 0.5
	// residentEntries bounds the number of parts remembered for an upstream.
	residentEntries = 4096
	// slowGain is the weight of one answer in an upstream's lateness.
	slowGain = 0.2
)

// attempt is a call at an upstream.
type attempt struct {
	sentAt   time.Time
	expected time.Duration
	// read is the number of prompt tokens to be read, tokens the memory taken.
	read   int
	tokens int
	begun  bool
	// other is the part of the estimate that is not for transfers, fetching the
	// part for own transfers, both in milliseconds.
	other    float64
	fetching float64
	// ahead is the time of the transfers before its own ones.
	ahead     float64
	transfers []transfer
}

// cached is a part in an upstream's cache.
type cached struct {
	tokens int
	// told is set when the upstream itself has reported the part.
	told bool
}

// upstream is what this process knows of one upstream.
type upstream struct {
	listed   catalog.ListedUpstream
	seenAt   time.Time
	attempts map[AttemptID]*attempt
	// backlog is the number of prompt tokens of attempts that have not begun.
	backlog int
	// fetching is the expected time of own transfers to the upstream that have not
	// ended, in milliseconds. They follow one another.
	fetching float64
	// tokens is the memory that attempts take.
	tokens int
	// others is the load from other processes, as of othersAt.
	others   float64
	othersAt time.Time
	// faults is the share of failures, as of faultsAt.
	faults   float64
	faultsAt time.Time
	trialAt  time.Time
	// unreachable counts failed connections in a row.
	unreachable int
	// reachedAt is when the upstream last answered this process.
	reachedAt   time.Time
	avoidUntil  time.Time
	refuseUntil time.Time
	gate        admit.Gate
	// place is this process's place among those that share the upstream's limits,
	// worked out for a generation of them.
	place    int
	placedIn uint64
	weights  map[core.ModelID]catalog.WeightNumber
	resident *simplelru.LRU[cacheindex.Key, cached]
	// heardAt is when the upstream last told of its cache; zero when it does not.
	heardAt      time.Time
	residentUsed int
	// late is the mean time in milliseconds by which answers exceed the estimate.
	late   float64
	lateAt time.Time
}

// newUpstream returns an upstream that a process learns of which has been counting
// its calls since a time.
func newUpstream(now, counting time.Time, listed catalog.ListedUpstream) *upstream {
	u := &upstream{
		gate: admit.NewGate(counting), listed: listed, seenAt: now, attempts: make(map[AttemptID]*attempt),
		weights: make(map[core.ModelID]catalog.WeightNumber),
	}
	u.resident, _ = simplelru.NewLRU[cacheindex.Key, cached](residentEntries, nil) // fails only for sizes below 1
	u.relist(now, listed)
	return u
}

// relist takes a newer entry of the list.
func (u *upstream) relist(now time.Time, listed catalog.ListedUpstream) {
	reborn := listed.StartedAtMs != u.listed.StartedAtMs
	u.listed = listed
	if listed.ColdRemaining > 0 {
		u.gate.Extend(now.Add(listed.ColdRemaining))
	}
	if reborn {
		u.forgetCache()
		u.faults, u.late, u.unreachable, u.avoidUntil = 0, 0, 0, time.Time{}
	}
	for model, version := range listed.Weights {
		u.learnWeights(model, version)
	}
}

func (u *upstream) learnWeights(model core.ModelID, version catalog.WeightNumber) {
	if version > u.weights[model] {
		u.weights[model] = version
		u.forgetCache()
		u.refuseUntil = time.Time{}
	}
}

func (u *upstream) forgetCache() {
	u.resident.Purge()
	u.residentUsed = 0
}

func halved(value float64, since, now time.Time, halfLife time.Duration) float64 {
	if value == 0 || !now.After(since) {
		return value
	}
	return value * math.Exp2(-float64(now.Sub(since))/float64(halfLife))
}

// load is the number of calls at the upstream, own ones included.
func (u *upstream) load(now time.Time) float64 {
	return float64(len(u.attempts)) + u.othersLoad(now)
}

func (u *upstream) othersLoad(now time.Time) float64 {
	return halved(u.others, u.othersAt, now, loadHalfLife)
}

func (u *upstream) reported(now time.Time, load int) {
	u.others = max(float64(load-len(u.attempts)), 0)
	u.othersAt = now
}

func (u *upstream) faultShare(now time.Time) float64 {
	return halved(u.faults, u.faultsAt, now, faultHalfLife)
}

func (u *upstream) noteResult(now time.Time, failed bool) {
	share := u.faultShare(now) * (1 - faultGain)
	if failed {
		share += faultGain
	}
	u.faults, u.faultsAt = share, now
}

func (u *upstream) lateness(now time.Time) float64 {
	return halved(u.late, u.lateAt, now, faultHalfLife)
}

func (u *upstream) noteLateness(now time.Time, excess time.Duration) {
	ms := max(float64(excess.Microseconds())/1000, 0)
	u.late, u.lateAt = u.lateness(now)*(1-slowGain)+ms*slowGain, now
}

// silence is how much longer than expected the oldest unanswered attempt has
// waited, in milliseconds.
func (u *upstream) silence(now time.Time) float64 {
	var worst time.Duration
	for _, a := range u.attempts {
		if !a.begun {
			worst = max(worst, now.Sub(a.sentAt)-a.expected)
		}
	}
	return float64(worst.Milliseconds())
}

func (u *upstream) eventsTrusted(now time.Time) bool {
	return !u.heardAt.IsZero() && now.Sub(u.heardAt) < cacheTrust
}

// hasRead notes that a part is in the upstream's cache. Without events of the
// upstream the oldest parts are assumed to be evicted.
func (u *upstream) hasRead(key cacheindex.Key, c cached, capacity int) {
	if old, ok := u.resident.Peek(key); ok {
		u.residentUsed -= old.tokens
		c.told = c.told || old.told
	}
	u.resident.Add(key, c)
	u.residentUsed += c.tokens
	share := residentShare
	if !u.heardAt.IsZero() {
		share = 1
	}
	for float64(u.residentUsed) > share*float64(capacity) && u.resident.Len() > 1 {
		_, old, _ := u.resident.RemoveOldest()
		u.residentUsed -= old.tokens
	}
}

// drop notes that a part was evicted.
func (u *upstream) drop(key cacheindex.Key) {
	if old, ok := u.resident.Peek(key); ok {
		u.residentUsed -= old.tokens
		u.resident.Remove(key)
	}
}
