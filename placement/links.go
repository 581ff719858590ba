package placement

import (
	"time"
)

const (
	// slownessHalfLife is the time in which the excess in the observed slowness of a
	// store's link decays to half, so that a recovered link is used again.
	slownessHalfLife = 1500 * time.Millisecond
	// slownessGain is the weight of one transfer in a link's slowness.
	slownessGain = 0.25
	// maxExcess bounds the excess that one transfer contributes to a link's slowness.
	maxExcess = 8.0
	// maxLoadFactor is the maximum assumed ratio of the transfers of all processes to
	// those of this process.
	maxLoadFactor = 3.0
	// firstByteNoiseMs is the portion of the time to the first byte that is not
	// attributed to transfers.
	firstByteNoiseMs = 40.0
)

// storeLink is the state of the link of a kept-cache store or server as observed
// by this process.
type storeLink struct {
	// pendingMs is the nominal time of this process's transfers in progress.
	pendingMs float64
	// excess is the ratio of the actual time of transfers to the nominal time, minus
	// one.
	excess   float64
	excessAt time.Time
}

// transfer is a fetch that belongs to an attempt. nominalMs is its time alone on
// the link, queuedMs its time after other transfers at nominal rate.
type transfer struct {
	store     string
	nominalMs float64
	queuedMs  float64
}

func (l *storeLink) slowness(now time.Time) float64 {
	return 1 + decayed(l.excess, l.excessAt, now, slownessHalfLife)
}

// observe records a transfer with its expected time at nominal rate and its actual
// time in milliseconds.
func (l *storeLink) observe(now time.Time, expectedMs, actualMs float64) {
	if expectedMs <= 0 {
		return
	}
	excess := min(max(actualMs/expectedMs-1, 0), maxExcess)
	l.excess = (l.slowness(now)-1)*(1-slownessGain) + excess*slownessGain
	l.excessAt = now
}

func (t *Table) link(store string) *storeLink {
	l := t.links[store]
	if l == nil {
		l = &storeLink{}
		t.links[store] = l
	}
	return l
}

// queuedTransferMs estimates the time of a transfer at nominal rate. Transfers of
// one store run one after another, and other processes are assumed to fetch as much
// as this process. The factor is bounded, because one local transfer indicates
// little about the transfers of many processes.
func (t *Table) queuedTransferMs(store string, nominalMs float64) float64 {
	return t.link(store).pendingMs*min(float64(max(len(t.fronts), 1))/2, maxLoadFactor) + nominalMs
}

// observeTransfers attributes the time to the first byte that the rest of the
// estimate does not explain to an attempt's transfers.
func (t *Table) observeTransfers(now time.Time, a *attempt) {
	totalMs := a.queuedBeforeMs
	for _, f := range a.transfers {
		l := t.link(f.store)
		l.pendingMs = max(l.pendingMs-f.nominalMs, 0)
		totalMs += f.queuedMs
	}
	if len(a.transfers) == 0 || !a.hasReport {
		return
	}
	unexplainedMs := float64(now.Sub(a.sentAt).Microseconds())/1000 - a.otherMs - firstByteNoiseMs
	for _, f := range a.transfers {
		t.link(f.store).observe(now, f.queuedMs, unexplainedMs*f.queuedMs/totalMs)
	}
}
