package placement

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// An engine whose running calls need more memory than it has preempts calls and evicts
// the parts that waiting calls have fetched. It then reads prompts again, which delays all
// calls, so that they use their memory for longer. Calls therefore wait at the front until
// an engine has memory for them.

const (
	// newCallMemoryShare is the share of an engine's memory up to which calls that have
	// not waited are sent to it, as far as this process knows the calls of the others.
	newCallMemoryShare = 1.0
	// waitedCallMemoryShare is that share for calls at the end of their waiting time. It
	// is larger, so that smaller calls that arrive later do not take all memory that becomes
	// free. Calls that run at the same time share parts, which are counted several times.
	waitedCallMemoryShare = 1.3
	// newCallWaiting and waitedCallWaiting are the numbers of calls that may wait at an
	// engine when a call is sent to it that has not waited, and at the end of its waiting
	// time. An engine at which calls wait has no memory for others.
	newCallWaiting    = 2.0
	waitedCallWaiting = 8.0
	// portionFactor is the ratio of the memory that the calls of this process may use at
	// an engine to this process's portion of the limit for all processes. The load that
	// others report is older than what they have sent since.
	portionFactor = 1.02
	// freeMemoryShare is the share of an engine's memory up to which the portion does not
	// apply. With many processes a portion is smaller than one call.
	freeMemoryShare = 0.25
	// idleLoad is the number of calls of other processes below which an engine is taken to
	// be idle. An idle engine is offered calls of any size.
	idleLoad = 0.5
	// othersMemoryTTL is the time for which the memory that others use is known.
	othersMemoryTTL = 500 * time.Millisecond
	// enginesPerReserved is the number of engines of a service for each one at which memory is
	// left for large calls while they wait.
	enginesPerReserved = 8
	// residencyGain is the weight of one call in the mean memory of a running call.
	residencyGain = 0.05
)

// residency is the memory that the calls of a service use while they run. Calls that run
// for longer have more weight, since they are a larger share of those that run.
type residency struct {
	tokenSeconds float64
	seconds      float64
}

// observe records a finished call.
func (r *residency) observe(tokens int, ran time.Duration) {
	seconds := ran.Seconds()
	r.tokenSeconds += (float64(tokens)*seconds - r.tokenSeconds) * residencyGain
	r.seconds += (seconds - r.seconds) * residencyGain
}

// meanTokens returns the mean memory of a running call.
func (r *residency) meanTokens() float64 {
	if r == nil || r.seconds <= 0 {
		return assumedCallTokens
	}
	return r.tokenSeconds / r.seconds
}

// observeResidency records the memory of a finished call of a service.
func (pl *Placer) observeResidency(service core.ServiceID, tokens int, ran time.Duration) {
	r := pl.residencies[service]
	if r == nil {
		r = &residency{tokenSeconds: float64(tokens) * ran.Seconds(), seconds: ran.Seconds()}
		pl.residencies[service] = r
		return
	}
	r.observe(tokens, ran)
}

// usedMemory estimates the tokens in an engine's memory that the calls of all processes
// use.
func (pl *Placer) usedMemory(now time.Time, u *upstream) float64 {
	mean, known := pl.othersMeanTokens(now, u.row.Service)
	if !known {
		mean = pl.residencies[u.row.Service].meanTokens()
	}
	return float64(u.memoryTokens) + u.othersLoad(now)*mean
}

// othersMemory is the mean memory of a running call of other processes at a time.
type othersMemory struct {
	mean float64
	at   time.Time
}

// SetOthersRunning sets the memory that the calls of a service use that a number of other
// processes have sent. Processes that do not report it are taken to use as much as the others.
func (pl *Placer) SetOthersRunning(now time.Time, service core.ServiceID, tokens, processes int) {
	listed := len(pl.fronts) - 1
	if 2*processes < listed || tokens == 0 {
		delete(pl.othersRunning, service)
		return
	}
	all := float64(tokens) * max(float64(listed)/float64(processes), 1)
	calls := 0.0
	for _, u := range pl.byService[service] {
		calls += u.othersLoad(now)
	}
	if calls < 1 {
		delete(pl.othersRunning, service)
		return
	}
	pl.othersRunning[service] = othersMemory{mean: all / calls, at: now}
}

// othersMeanTokens returns the mean memory of a running call of other processes, if it is
// known. The calls of this process may be smaller or larger.
func (pl *Placer) othersMeanTokens(now time.Time, service core.ServiceID) (float64, bool) {
	o, ok := pl.othersRunning[service]
	return o.mean, ok && now.Sub(o.at) <= othersMemoryTTL
}

// hasMemory reports whether an engine has memory for a call.
func (pl *Placer) hasMemory(now time.Time, service *catalog.Service, u *upstream, req Request) bool {
	if service.Engine == nil || service.Engine.CacheTokens <= 0 || req.Prompt.Tokens == 0 {
		return true
	}
	if len(u.attempts) == 0 && u.othersLoad(now) < idleLoad {
		return true
	}
	if u.waiting(now) > newCallWaiting+(waitedCallWaiting-newCallWaiting)*req.WaitedShare {
		return false
	}
	capacity, needed := float64(service.Engine.CacheTokens), float64(callMemory(req.Prompt))
	limit := capacity * memoryLimitShare(req.WaitedShare)
	own := float64(u.memoryTokens)
	if own > freeMemoryShare*capacity && own+needed > portionFactor*limit*pl.ownLoadShare {
		return false
	}
	if largest := float64(req.LargestWaiting); needed < largest && pl.reservedForLarge[u] {
		limit, needed = newCallMemoryShare*capacity, largest
	}
	return pl.usedMemory(now, u)+needed <= limit
}

// reserveForLarge selects the engines of a service at which memory is left for large calls
// while such calls wait. All processes select the same ones, so that the calls that run there
// end and leave enough memory at one engine instead of a little at each.
func (pl *Placer) reserveForLarge(service core.ServiceID) {
	ids := make([]core.UpstreamID, 0, len(pl.byService[service]))
	for _, u := range pl.byService[service] {
		ids = append(ids, u.row.ID)
	}
	slices.Sort(ids)
	for _, id := range ids[:(len(ids)+enginesPerReserved-1)/enginesPerReserved] {
		pl.reservedForLarge[pl.upstreams[id]] = true
	}
}

// setOwnLoadShare sets ownLoadShare for the placement of a call of a service. It is at
// least an equal share, and larger while other processes have few calls, for example
// since they stop, or while they leave more of the memory to this one.
func (pl *Placer) setOwnLoadShare(now time.Time, service core.ServiceID, memoryShare float64) {
	own, others := 0.0, 0.0
	for _, u := range pl.byService[service] {
		own += float64(len(u.attempts))
		others += u.othersLoad(now)
	}
	pl.ownLoadShare = max(1/float64(max(len(pl.fronts), 1)), memoryShare)
	if own > 0 {
		pl.ownLoadShare = max(pl.ownLoadShare, own/(own+others))
	}
}

// memoryLimitShare returns the share of an engine's memory up to which a call is sent to it.
func memoryLimitShare(waitedShare float64) float64 {
	return newCallMemoryShare + (waitedCallMemoryShare-newCallMemoryShare)*waitedShare
}

// UsableMemory returns the memory in tokens that the calls of a service may use at all its
// engines that can be used, and the mean time for which a call uses its memory.
func (pl *Placer) UsableMemory(now time.Time, req Request) (tokens float64, runTime time.Duration) {
	service := pl.services[req.Service]
	if service == nil || service.Engine == nil {
		return 0, 0
	}
	req.TriedUpstreams = nil
	for _, u := range pl.byService[req.Service] {
		if pl.usable(now, u, req) {
			tokens += float64(service.Engine.CacheTokens) * memoryLimitShare(req.WaitedShare)
		}
	}
	if r := pl.residencies[req.Service]; r != nil {
		runTime = time.Duration(r.seconds * float64(time.Second))
	}
	return tokens, runTime
}

// callMemory returns the memory in tokens that a call uses at most.
func callMemory(p core.Prompt) int { return p.Tokens + p.MaxOutputTokens }
