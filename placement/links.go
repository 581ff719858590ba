package placement

import (
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
}

// transfer is a fetch that belongs to an attempt. nominalMs is its time according to
// transferMs. queuedMs is nominalMs plus the nominal time of the transfers that are
// assumed to be queued before it. expectedMs is its estimated time with the delay of its link.
type transfer struct {
	sourceAddress string
	nominalMs     float64
	queuedMs      float64
	expectedMs    float64
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
	totalMs := a.queuedBeforeMs
	for _, f := range a.transfers {
		totalMs += f.queuedMs
	}
	if len(a.transfers) == 0 {
		return
	}
	unexplained := unexplainedMs(now, u, a)
	for _, f := range a.transfers {
		pl.link(f.sourceAddress).observe(now, f.queuedMs, unexplained*f.queuedMs/totalMs)
	}
	for _, d := range transferDelays(now, u, a) {
		pl.delays.state.Observe(now, d.Link, d.DelayMs)
	}
}

// unexplainedMs returns the time since an attempt was sent that is attributed to its
// transfers, in milliseconds.
func unexplainedMs(now time.Time, u *upstream, a *attempt) float64 {
	return float64(now.Sub(a.sentAt).Microseconds())/1000 - a.nonTransferMs - max(a.engineLatenessMs, u.engineLatenessMs(now)) - firstByteNoiseMs
}
