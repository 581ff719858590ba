package placement

import (
	"time"
)

const (
	// slowHalfLife is the time in which the observed slowness of a store's link
	// loses half of its excess, so that a link that recovers is used again.
	slowHalfLife = 1500 * time.Millisecond
	// linkGain is the weight of one transfer in a link's slowness.
	linkGain = 0.25
	// slowMost bounds what one transfer can say about a link.
	slowMost = 8.0
	// othersMost bounds how many times its own transfers a process takes those of
	// all to be.
	othersMost = 3.0
	// fetchNoise is the time of a first byte that is not ascribed to transfers.
	fetchNoise = 40.0
)

// storeLink is what this process knows of the link of a kept-cache store.
type storeLink struct {
	// busy is the nominal time of own transfers under way, in milliseconds.
	busy float64
	// excess is how many times longer than nominal transfers take, less one.
	excess   float64
	excessAt time.Time
}

// transfer is a fetch that belongs to an attempt. Its times are in
// milliseconds: alone on the link, and behind others at nominal rate.
type transfer struct {
	store   string
	nominal float64
	queued  float64
}

func (l *storeLink) slowness(now time.Time) float64 {
	return 1 + halved(l.excess, l.excessAt, now, slowHalfLife)
}

// observe takes a transfer that took a time in place of the one expected at
// nominal rate, both in milliseconds.
func (l *storeLink) observe(now time.Time, expected, took float64) {
	if expected <= 0 {
		return
	}
	excess := min(max(took/expected-1, 0), slowMost)
	l.excess = (l.slowness(now)-1)*(1-linkGain) + excess*linkGain
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

// queued is the time of a transfer at nominal rate: transfers of one store
// follow one another, and other processes are taken to fetch as much as this one.
// Where they are many, one own transfer says little about theirs.
func (t *Table) queued(store string, nominal float64) float64 {
	return t.link(store).busy*min(float64(max(len(t.fronts), 1))/2, othersMost) + nominal
}

// observeTransfers ascribes the time to the first byte that the rest of the
// estimate does not explain to an attempt's transfers.
func (t *Table) observeTransfers(now time.Time, a *attempt) {
	total := a.ahead
	for _, f := range a.transfers {
		l := t.link(f.store)
		l.busy = max(l.busy-f.nominal, 0)
		total += f.queued
	}
	if len(a.transfers) == 0 || !a.begun {
		return
	}
	took := float64(now.Sub(a.sentAt).Microseconds())/1000 - a.other - fetchNoise
	for _, f := range a.transfers {
		t.link(f.store).observe(now, f.queued, took*f.queued/total)
	}
}
