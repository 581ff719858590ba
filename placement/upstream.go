package placement

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement/pace"
)

const (
	// loadHalfLife is the time in which a reported load decays to half.
	loadHalfLife = 1500 * time.Millisecond
	// waitingHalfLife is the time in which a reported number of waiting calls decays to
	// half.
	waitingHalfLife = 500 * time.Millisecond
	// failureHalfLife is the time in which an upstream's share of failures and its
	// lateness decay to half.
	failureHalfLife = 3 * time.Second
	// failureGain is the weight of one result in the share of failures.
	failureGain = 0.25
	// suspectShare is the share of failures above which an upstream is suspect. It then
	// receives only trial calls, unless no other upstream can be used.
	suspectShare = 0.4
	// trialInterval is the minimum interval between two trial calls to a suspect
	// upstream.
	trialInterval = 700 * time.Millisecond
	// unreachableDelay is the time for which an upstream is excluded after a failed
	// connection. It doubles with each further failure up to maxUnreachableDelay.
	unreachableDelay    = 400 * time.Millisecond
	maxUnreachableDelay = 1600 * time.Millisecond
	// rejectionCostDuration is the time for which rejectionCost is added after an
	// upstream rejected a call.
	rejectionCostDuration = 150 * time.Millisecond
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
	// usualMs is the portion of the expected time to the first byte that is not for
	// transfers, at the usual pace of the upstream.
	usualMs float64
	// waiting is the estimated number of calls that waited at the upstream.
	waiting float64
	// nonTransferMs is the portion of the expected time to the first byte that is not
	// for transfers.
	nonTransferMs float64
	// queuedBeforeMs is the time of the transfers that are queued before this
	// attempt's transfers.
	queuedBeforeMs float64
	transfers      []transfer
	// engineLatenessMs is the result of upstream.engineLatenessMs when the attempt was sent.
	engineLatenessMs float64
}

// partState is the state of a part in an upstream's cache.
type partState struct {
	tokens int
	// reportedByUpstream is set when the upstream itself has reported the part.
	// Otherwise the part is assumed to be cached after a call.
	reportedByUpstream bool
}

// upstream is the state of one upstream as observed by this process.
type upstream struct {
	row         catalog.UpstreamRow
	firstSeenAt time.Time
	attempts    map[AttemptID]*attempt
	// unreadTokens is the number of tokens still to be read by attempts without a
	// report.
	unreadTokens int
	// fetchBusyUntil is when this process's transfers to the upstream, which run one
	// after another, are expected to have ended.
	fetchBusyUntil time.Time
	// memoryTokens is the memory that this process's attempts use.
	memoryTokens int
	// otherCalls is the load from other processes as of otherCallsAt.
	otherCalls   float64
	otherCallsAt time.Time
	// meanOtherCalls is the weighted mean of otherCalls.
	meanOtherCalls float64
	// reportedWaiting is the number of calls that waited at the upstream at otherCallsAt.
	reportedWaiting float64
	// failureShare is the share of failures as of failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	lastTrialAt    time.Time
	// failedConnects is the number of consecutive failed connections, lastFailedConnect
	// the time of the last one. Those that were opened before that time and fail as well
	// count as the same one.
	failedConnects    int
	lastFailedConnect time.Time
	// lastResponseAt is when the upstream last responded to this process.
	lastResponseAt     time.Time
	excludedUntil      time.Time
	rejectionCostUntil time.Time
	gate               admit.Gate
	rate               announcedRate
	// restriction combines the departures of the listed incarnation and of later ones with
	// the pause at the listed address.
	restriction restriction
	// rank is this process's rank among the fronts over which the upstream's limits
	// are divided, computed for the generation rankGeneration of the fronts.
	rank           int
	rankGeneration uint64
	weights        map[core.ModelID]catalog.WeightNumber
	cachedParts    *simplelru.LRU[cacheindex.Key, partState]
	// lastEventAt is the time of the upstream's last response to a request for events,
	// or zero when its events are not available.
	lastEventAt  time.Time
	cachedTokens int
	// lateness is that of all responses, latenessWithoutTransfers that of responses to calls
	// without transfers.
	lateness                 lateness
	latenessWithoutTransfers lateness
	slowdown                 pace.Slowdown
	// slowdownSample is the slowdown that the response at slowdownSampleAt has shown.
	slowdownSample   float64
	slowdownSampleAt time.Time
}

// newUpstream returns the state of a newly listed upstream. countingSince is the
// time from which the process has counted its calls.
func newUpstream(now, countingSince time.Time, row catalog.UpstreamRow) *upstream {
	u := &upstream{
		gate: admit.NewGate(countingSince), row: row, firstSeenAt: now, attempts: make(map[AttemptID]*attempt),
		weights: make(map[core.ModelID]catalog.WeightNumber),
	}
	u.cachedParts, _ = simplelru.NewLRU[cacheindex.Key, partState](maxCachedParts, nil) // fails only for sizes below 1
	u.update(now, row)
	return u
}

// update applies a newer row of the list of upstreams.
func (u *upstream) update(now time.Time, row catalog.UpstreamRow) {
	restarted := row.StartedAtMs != u.row.StartedAtMs
	u.row = row
	if row.ColdRemaining > 0 {
		u.gate.MarkColdUntil(now.Add(row.ColdRemaining))
	}
	if restarted {
		u.rate = announcedRate{observedAt: now}
		u.clearCache()
		u.lateness, u.latenessWithoutTransfers, u.slowdown = lateness{}, lateness{}, pace.Slowdown{}
		u.failureShare, u.failedConnects, u.excludedUntil = 0, 0, time.Time{}
	}
	for model, version := range row.Weights {
		u.updateWeights(model, version)
	}
}

// recordFailedConnect excludes the upstream for a time after a connection that was opened
// at openedAt has failed. If the upstream has responded to another call since then, it can
// be reached and is not excluded.
func (u *upstream) recordFailedConnect(now, openedAt time.Time) {
	if u.lastResponseAt.After(openedAt) || u.failedConnects > 0 && u.lastFailedConnect.After(openedAt) {
		return
	}
	delay := min(unreachableDelay<<min(u.failedConnects, 4), maxUnreachableDelay)
	u.failedConnects++
	u.lastFailedConnect = now
	u.excludedUntil = now.Add(delay)
}

// Excluded reports whether an upstream gets no calls for a time because connections to it
// have failed.
func (pl *Placer) Excluded(now time.Time, id core.UpstreamID) bool {
	u := pl.upstreams[id]
	return u != nil && now.Before(u.excludedUntil)
}

// leaving reports whether the upstream's row or the upstream itself announces that it
// leaves.
func (u *upstream) leaving() bool { return u.row.Draining || u.restriction.leaving }

func (u *upstream) updateWeights(model core.ModelID, version catalog.WeightNumber) {
	if version > u.weights[model] {
		u.weights[model] = version
		u.clearCache()
		u.rejectionCostUntil = time.Time{}
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

// waiting estimates the number of calls that wait at the upstream.
func (u *upstream) waiting(now time.Time) float64 {
	return decayed(u.reportedWaiting, u.otherCallsAt, now, waitingHalfLife)
}

func (u *upstream) othersLoad(now time.Time) float64 {
	return decayed(u.otherCalls, u.otherCallsAt, now, loadHalfLife)
}

// recordLoad records the load that the upstream has stated in a response.
func (u *upstream) recordLoad(now time.Time, load core.UpstreamLoad) {
	if calls, ok := load.Calls(); ok {
		u.setReportedLoad(now, calls)
		u.reportedWaiting = float64(load.Waiting)
	}
	u.slowdown.Announce(now, load.Slowdown)
}

func (u *upstream) setReportedLoad(now time.Time, load int) {
	weight := 1 - math.Exp2(-max(float64(now.Sub(u.otherCallsAt)), 0)/float64(meanLoadHalfLife))
	u.meanOtherCalls += weight * (max(float64(load-len(u.attempts)), 0) - u.meanOtherCalls)
	u.otherCalls = max(float64(load-len(u.attempts)), 0)
	u.otherCallsAt = now
}

func (u *upstream) currentFailureShare(now time.Time) float64 {
	return decayed(u.failureShare, u.failureShareAt, now, failureHalfLife)
}

func (u *upstream) updateFailureShare(now time.Time, failed bool) {
	share := u.currentFailureShare(now) * (1 - failureGain)
	if failed {
		share += failureGain
	}
	u.failureShare, u.failureShareAt = share, now
}

// longestOverdueMs returns the longest time by which an attempt without a report exceeds
// its expected time to the first byte, in milliseconds.
func (u *upstream) longestOverdueMs(now time.Time) float64 {
	var worst time.Duration
	for _, a := range u.attempts {
		if !a.hasReport {
			worst = max(worst, now.Sub(a.sentAt)-a.expectedFirstByte)
		}
	}
	return float64(worst.Milliseconds())
}

// engineLatenessMs returns the time by which responses exceed the estimate for reasons
// other than transfers: the mean lateness of calls without transfers, or the longest time
// for which such a call is overdue now.
func (u *upstream) engineLatenessMs(now time.Time) float64 {
	late := u.latenessWithoutTransfers.current(now)
	for _, a := range u.attempts {
		if !a.hasReport && len(a.transfers) == 0 {
			late = max(late, float64((now.Sub(a.sentAt) - a.expectedFirstByte).Milliseconds()))
		}
	}
	return late
}

func (u *upstream) eventsTrusted(now time.Time) bool {
	return !u.lastEventAt.IsZero() && now.Sub(u.lastEventAt) < cacheEventTimeout
}

// addCachedPart records that a part is in the upstream's cache. Above the capacity,
// or above assumedCacheShare of the capacity when events are not available, the
// parts that were added first are assumed to be evicted.
func (u *upstream) addCachedPart(key cacheindex.Key, state partState, capacity int) {
	if old, ok := u.cachedParts.Peek(key); ok {
		u.cachedTokens -= old.tokens
		state.reportedByUpstream = state.reportedByUpstream || old.reportedByUpstream
	}
	u.cachedParts.Add(key, state)
	u.cachedTokens += state.tokens
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
