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
	// loadHalfLife is the time in which a reported load decays to half.
	loadHalfLife = 1500 * time.Millisecond
	// failureHalfLife is the time in which an upstream's share of failures and its
	// lateness decay to half.
	failureHalfLife = 3 * time.Second
	// failureGain is the weight of one result in the share of failures.
	failureGain = 0.25
	// suspectShare is the share of failures above which an upstream receives only
	// trial calls.
	suspectShare = 0.4
	// trialInterval is the minimum interval between two trial calls to a suspect
	// upstream.
	trialInterval = 700 * time.Millisecond
	// unreachableDelay is the time for which an upstream is not used after a failed
	// connection. It doubles with each further failure up to maxUnreachableDelay.
	unreachableDelay    = 400 * time.Millisecond
	maxUnreachableDelay = 1600 * time.Millisecond
	// rejectionDelay is the time for which an upstream is avoided after it rejected a
	// call.
	rejectionDelay = 150 * time.Millisecond
	// assumedCacheShare is the fraction of an engine's cache that is assumed to contain
	// the most recently read parts when the engine reports no events.
	assumedCacheShare = 0.5
	// maxCachedParts is the maximum number of parts recorded for an upstream.
	maxCachedParts = 4096
	// latenessGain is the weight of one response in an upstream's lateness.
	latenessGain = 0.2
)

// attempt is a call at an upstream.
type attempt struct {
	sentAt            time.Time
	expectedFirstByte time.Duration
	// readTokens is the number of prompt tokens to be read, memoryTokens the memory
	// that the attempt uses.
	readTokens   int
	memoryTokens int
	// hasReport is set from the first report of the attempt on.
	hasReport bool
	// otherMs is the share of the estimated time that is not for transfers, fetchMs
	// the share for this attempt's transfers.
	otherMs float64
	fetchMs float64
	// queuedBeforeMs is the time of the transfers that are queued before this
	// attempt's transfers.
	queuedBeforeMs float64
	transfers      []transfer
}

// cachedPart is a part in an upstream's cache.
type cachedPart struct {
	tokens int
	// reportedByUpstream is set when the upstream itself has reported the part.
	// Otherwise the part is assumed to be cached after a call.
	reportedByUpstream bool
}

// upstream is the state of one upstream as observed by this process.
type upstream struct {
	listing     catalog.ListedUpstream
	firstSeenAt time.Time
	attempts    map[AttemptID]*attempt
	// backlog is the number of prompt tokens of attempts without a report.
	backlog int
	// pendingFetchMs is the expected time of this process's unfinished transfers to
	// the upstream. They run one after another.
	pendingFetchMs float64
	// memoryTokens is the memory that this process's attempts use.
	memoryTokens int
	// otherCalls is the load from other processes as of otherCallsAt.
	otherCalls   float64
	otherCallsAt time.Time
	// failures is the share of failures as of failuresAt.
	failures    float64
	failuresAt  time.Time
	lastTrialAt time.Time
	// failedConnects is the number of consecutive failed connections.
	failedConnects int
	// lastResponseAt is when the upstream last responded to this process.
	lastResponseAt time.Time
	avoidUntil     time.Time
	rejectingUntil time.Time
	gate           admit.Gate
	// rank is this process's rank among the fronts over which the upstream's limits
	// are divided, computed for the generation rankGeneration of the fronts.
	rank           int
	rankGeneration uint64
	weights        map[core.ModelID]catalog.WeightNumber
	cachedParts    *simplelru.LRU[cacheindex.Key, cachedPart]
	// lastEventAt is the time of the upstream's last response with cache events, or
	// zero when it does not report events.
	lastEventAt  time.Time
	cachedTokens int
	// latenessMs is the mean time by which responses exceed the estimate.
	latenessMs float64
	latenessAt time.Time
}

// newUpstream returns the state of a newly listed upstream. countingSince is the
// time from which the process has counted its calls.
func newUpstream(now, countingSince time.Time, listing catalog.ListedUpstream) *upstream {
	u := &upstream{
		gate: admit.NewGate(countingSince), listing: listing, firstSeenAt: now, attempts: make(map[AttemptID]*attempt),
		weights: make(map[core.ModelID]catalog.WeightNumber),
	}
	u.cachedParts, _ = simplelru.NewLRU[cacheindex.Key, cachedPart](maxCachedParts, nil) // fails only for sizes below 1
	u.update(now, listing)
	return u
}

// update applies a newer row of the list of upstreams.
func (u *upstream) update(now time.Time, listing catalog.ListedUpstream) {
	restarted := listing.StartedAtMs != u.listing.StartedAtMs
	u.listing = listing
	if listing.ColdRemaining > 0 {
		u.gate.MarkColdUntil(now.Add(listing.ColdRemaining))
	}
	if restarted {
		u.clearCache()
		u.failures, u.latenessMs, u.failedConnects, u.avoidUntil = 0, 0, 0, time.Time{}
	}
	for model, version := range listing.Weights {
		u.updateWeights(model, version)
	}
}

func (u *upstream) updateWeights(model core.ModelID, version catalog.WeightNumber) {
	if version > u.weights[model] {
		u.weights[model] = version
		u.clearCache()
		u.rejectingUntil = time.Time{}
	}
}

func (u *upstream) clearCache() {
	u.cachedParts.Purge()
	u.cachedTokens = 0
}

func decayed(value float64, updatedAt, now time.Time, halfLife time.Duration) float64 {
	if value == 0 || !now.After(updatedAt) {
		return value
	}
	return value * math.Exp2(-float64(now.Sub(updatedAt))/float64(halfLife))
}

// load returns the number of calls at the upstream, including this process's
// calls.
func (u *upstream) load(now time.Time) float64 {
	return float64(len(u.attempts)) + u.othersLoad(now)
}

func (u *upstream) othersLoad(now time.Time) float64 {
	return decayed(u.otherCalls, u.otherCallsAt, now, loadHalfLife)
}

func (u *upstream) setReportedLoad(now time.Time, load int) {
	u.otherCalls = max(float64(load-len(u.attempts)), 0)
	u.otherCallsAt = now
}

func (u *upstream) failureShare(now time.Time) float64 {
	return decayed(u.failures, u.failuresAt, now, failureHalfLife)
}

func (u *upstream) recordResult(now time.Time, failed bool) {
	share := u.failureShare(now) * (1 - failureGain)
	if failed {
		share += failureGain
	}
	u.failures, u.failuresAt = share, now
}

func (u *upstream) lateness(now time.Time) float64 {
	return decayed(u.latenessMs, u.latenessAt, now, failureHalfLife)
}

func (u *upstream) recordLateness(now time.Time, excess time.Duration) {
	ms := max(float64(excess.Microseconds())/1000, 0)
	u.latenessMs, u.latenessAt = u.lateness(now)*(1-latenessGain)+ms*latenessGain, now
}

// overdueMs returns the longest time by which an attempt without a report exceeds
// its expected time to the first byte, in milliseconds.
func (u *upstream) overdueMs(now time.Time) float64 {
	var worst time.Duration
	for _, a := range u.attempts {
		if !a.hasReport {
			worst = max(worst, now.Sub(a.sentAt)-a.expectedFirstByte)
		}
	}
	return float64(worst.Milliseconds())
}

func (u *upstream) eventsTrusted(now time.Time) bool {
	return !u.lastEventAt.IsZero() && now.Sub(u.lastEventAt) < cacheEventTimeout
}

// addCachedPart records that a part is in the upstream's cache. Without events of
// the upstream, the oldest parts are assumed to be evicted.
func (u *upstream) addCachedPart(key cacheindex.Key, p cachedPart, capacity int) {
	if old, ok := u.cachedParts.Peek(key); ok {
		u.cachedTokens -= old.tokens
		p.reportedByUpstream = p.reportedByUpstream || old.reportedByUpstream
	}
	u.cachedParts.Add(key, p)
	u.cachedTokens += p.tokens
	share := assumedCacheShare
	if !u.lastEventAt.IsZero() {
		share = 1
	}
	for float64(u.cachedTokens) > share*float64(capacity) && u.cachedParts.Len() > 1 {
		_, old, _ := u.cachedParts.RemoveOldest()
		u.cachedTokens -= old.tokens
	}
}

// removeCachedPart records that a part was evicted.
func (u *upstream) removeCachedPart(key cacheindex.Key) {
	if old, ok := u.cachedParts.Peek(key); ok {
		u.cachedTokens -= old.tokens
		u.cachedParts.Remove(key)
	}
}
