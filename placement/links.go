package placement

import (
	"slices"
	"time"
)

const (
	// slownessHalfLife is the time in which the excess of a link (sourceLink.excess)
	// decays to half, so that a recovered link is used again.
	slownessHalfLife = 1500 * time.Millisecond
	// slownessGain is the weight of one transfer in a link's excess.
	slownessGain = 0.25
	// maxExcess is the maximum absolute excess that one transfer contributes.
	maxExcess = 8.0
	// maxQueueFactor is the maximum factor by which this process's pending transfers
	// are multiplied to estimate the transfers that are queued before a new one.
	maxQueueFactor = 3.0
	// delaySamples is the number of delays of a link that are kept, delayTTL their maximum
	// age and maxDelayMs the largest one.
	delaySamples = 10
	delayTTL     = 1500 * time.Millisecond
	maxDelayMs   = 1000.0
	// minDelaySamples is the number of recent delays from which a link has a delay, and
	// delayQuantile the quantile that is used. All transfers of a slow link are late, and
	// only some of those that wait for the engine.
	minDelaySamples = 4
	delayQuantile   = 0.3
	// firstByteNoiseMs is the portion of the time to the first byte that is not
	// attributed to transfers.
	firstByteNoiseMs = 40.0
)

// sourceLink is the state of the link of a kept-cache store or server as observed
// by this process.
type sourceLink struct {
	// busyUntil is when this process's transfers are expected to have ended. The end of
	// a transfer is not observed: the first byte of the response may come much later.
	busyUntil time.Time
	// excess is the weighted mean, as of excessAt, of the ratio of the actual time of
	// transfers to their expected time (transfer.queuedMs), minus one. It is not negative.
	excess   float64
	excessAt time.Time
	// delays are the newest times that transfers have waited for those of all processes,
	// nextDelay is the position of the next one.
	delays    [delaySamples]delaySample
	nextDelay int
}

// LinkDelay is the time that a transfer from a source has waited, as one response shows.
type LinkDelay struct {
	SourceAddress string
	Delay         time.Duration
}

// transfer is a fetch that belongs to an attempt. nominalMs is its time according to
// transferMs. queuedMs is nominalMs plus the nominal time of the transfers that are
// assumed to be queued before it.
type transfer struct {
	sourceAddress string
	nominalMs     float64
	queuedMs      float64
}

func (l *sourceLink) slowness(now time.Time) float64 {
	return 1 + decayed(l.excess, l.excessAt, now, slownessHalfLife)
}

// observe records the expected and the actual time of a transfer in milliseconds.
func (l *sourceLink) observe(now time.Time, expectedMs, actualMs float64) {
	if expectedMs <= 0 {
		return
	}
	excess := min(max(actualMs/expectedMs-1, -maxExcess), maxExcess)
	l.excess = max((l.slowness(now)-1)*(1-slownessGain)+excess*slownessGain, 0)
	l.excessAt = now
}

// delaySample is the time in milliseconds that a transfer has waited, as a response at a
// point in time has shown.
type delaySample struct {
	at time.Time
	ms float64
}

// delay returns the time in milliseconds that a transfer waits for those of all processes.
func (l *sourceLink) delay(now time.Time) float64 {
	var recent [delaySamples]float64
	n := 0
	for _, s := range l.delays {
		if !s.at.IsZero() && now.Sub(s.at) < delayTTL {
			recent[n] = s.ms
			n++
		}
	}
	if n < minDelaySamples {
		return 0
	}
	slices.Sort(recent[:n])
	return recent[int(delayQuantile*float64(n-1))]
}

// recordDelay adds the time in milliseconds that a transfer has waited.
func (l *sourceLink) recordDelay(at time.Time, ms float64) {
	l.delays[l.nextDelay] = delaySample{at: at, ms: min(max(ms, 0), maxDelayMs)}
	l.nextDelay = (l.nextDelay + 1) % delaySamples
}

// estimateMs estimates the time of a transfer in milliseconds. The ratio and the delay that
// earlier transfers have shown explain the same time, so that the larger estimate applies.
func (l *sourceLink) estimateMs(now time.Time, nominalMs, queuedMs float64) float64 {
	return max(queuedMs*l.slowness(now), nominalMs+l.delay(now))
}

// TakeLinkDelays returns the newest delay of each source that responses have shown since
// the last call.
func (pl *Placer) TakeLinkDelays() []LinkDelay {
	if len(pl.linkDelays) == 0 {
		return nil
	}
	out := make([]LinkDelay, 0, len(pl.linkDelays))
	for address, delay := range pl.linkDelays {
		out = append(out, LinkDelay{SourceAddress: address, Delay: delay})
	}
	clear(pl.linkDelays)
	return out
}

// remainingMs returns the time until a point in time in milliseconds, or 0 after it.
func remainingMs(now, until time.Time) float64 {
	return max(float64(until.Sub(now).Microseconds())/1000, 0)
}

// queueTransfer returns the end of a transfer that takes ms milliseconds and starts when
// the transfers before it have ended.
func queueTransfer(now, busyUntil time.Time, ms float64) time.Time {
	if busyUntil.Before(now) {
		busyUntil = now
	}
	return busyUntil.Add(time.Duration(ms * float64(time.Millisecond)))
}

func (pl *Placer) link(address string) *sourceLink {
	l := pl.links[address]
	if l == nil {
		l = &sourceLink{}
		pl.links[address] = l
	}
	return l
}

// queuedTransferMs estimates the time of a transfer including the time that it
// waits for other transfers. Transfers from one source run one after another. Other
// processes are assumed to fetch as much as this process, and half of all pending
// transfers to be queued before a new one. The factor is bounded, because one local
// transfer indicates little about the transfers of many processes.
func (pl *Placer) queuedTransferMs(now time.Time, address string, nominalMs float64) float64 {
	return remainingMs(now, pl.link(address).busyUntil)*min(float64(max(len(pl.fronts), 1))/2, maxQueueFactor) + nominalMs
}

// observeTransfers attributes to an attempt's transfers the time to the first byte minus
// the estimated time that is not for transfers and the engine's lateness without transfers.
// It is called at the first report of the attempt. If that report is final, the time until it
// is used as the time to the first byte.
func (pl *Placer) observeTransfers(now time.Time, u *upstream, a *attempt) {
	totalMs, nominalMs := a.queuedBeforeMs, a.queuedBeforeMs
	for _, f := range a.transfers {
		totalMs += f.queuedMs
		nominalMs += f.nominalMs
	}
	if len(a.transfers) == 0 {
		return
	}
	unexplainedMs := float64(now.Sub(a.sentAt).Microseconds())/1000 - a.nonTransferMs - max(a.engineLatenessMs, u.engineLatenessMs(now)) - firstByteNoiseMs
	for _, f := range a.transfers {
		l := pl.link(f.sourceAddress)
		l.observe(now, f.queuedMs, unexplainedMs*f.queuedMs/totalMs)
		delayMs := min(max((unexplainedMs-nominalMs)/float64(len(a.transfers)), 0), maxDelayMs)
		l.recordDelay(now, delayMs)
		pl.linkDelays[f.sourceAddress] = time.Duration(delayMs * float64(time.Millisecond))
	}
}
