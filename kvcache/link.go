package kvcache

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// rateWeight is the weight of a new sample in a measured rate.
	rateWeight = 0.3
	// backgroundShare is the part of a link that background transfers may use.
	backgroundShare = 0.5
	// maxBackgroundWait bounds the pause after a background transfer, so that a
	// rate that was measured too low does not stop exports.
	maxBackgroundWait = time.Minute
	// importMargin is how much faster than recomputation an urgent import must
	// be, because a rate measured on earlier transfers may no longer hold.
	importMargin = 0.8
	// useWindow is the period over which the use of a link is averaged.
	useWindow = 2 * time.Second
	// minSample is the shortest transfer that may lower the measured rate.
	// Shorter ones mostly measure the round trip.
	minSample = 20 * time.Millisecond
	// rateLifetime is how long a measured rate holds without a new transfer. A
	// link that was slow for a time is then tried again.
	rateLifetime = 10 * time.Second
)

// Budget shares one link between urgent transfers, which go first, and
// background transfers, which use at most a share of the measured rate.
type Budget struct {
	initial    float64
	rate       float64
	measuredAt time.Time
	urgent     int
	// queued is the number of urgent bytes not yet moved.
	queued int
	// nextBackground is when the share allows the next background transfer.
	nextBackground time.Time
	used           float64 // bytes in the window, decaying
	usedAt         time.Time
}

// NewBudget returns a budget that assumes a rate in bytes a second until one
// has been measured.
func NewBudget(rate float64) *Budget {
	rate = max(rate, 1)
	return &Budget{initial: rate, rate: rate}
}

// Refresh returns to the assumed rate when the measured one is too old.
func (b *Budget) Refresh(now time.Time) {
	if now.Sub(b.measuredAt) > rateLifetime {
		b.rate = max(b.rate, b.initial)
	}
}

// Rate returns the measured rate in bytes a second.
func (b *Budget) Rate() float64 { return b.rate }

// Measured records a finished transfer. Transfers that overlap each take longer
// than alone, so the caller reports the bytes and duration of a whole group.
func (b *Budget) Measured(now time.Time, bytes int, elapsed time.Duration) {
	b.used = b.usedNow(now) + float64(bytes)
	b.usedAt = now
	if elapsed <= 0 || bytes <= 0 {
		return
	}
	sample := float64(bytes) / elapsed.Seconds()
	if sample < b.rate && elapsed < minSample {
		return
	}
	b.measuredAt = now
	b.rate = max(1, (1-rateWeight)*b.rate+rateWeight*sample)
}

// Failed records that a transfer has moved no more than the given bytes in the
// time. The rate falls at once: a few more samples would each delay a run.
func (b *Budget) Failed(now time.Time, bytes int, elapsed time.Duration) {
	if elapsed > 0 {
		b.measuredAt = now
		b.rate = max(1, min(b.rate, float64(bytes)/elapsed.Seconds()))
	}
}

func (b *Budget) usedNow(now time.Time) float64 {
	age := max(0, now.Sub(b.usedAt))
	return b.used * max(0, 1-age.Seconds()/useWindow.Seconds())
}

// Free returns the part of the rate that is not in use, in bytes a second.
func (b *Budget) Free(now time.Time) float64 {
	return max(0, b.rate-b.usedNow(now)/useWindow.Seconds())
}

// BeginUrgent reserves the link for an urgent transfer.
func (b *Budget) BeginUrgent(bytes int) {
	b.urgent++
	b.queued += bytes
}

// EndUrgent ends an urgent transfer of the same number of bytes.
func (b *Budget) EndUrgent(bytes int) {
	b.urgent--
	b.queued -= bytes
}

// Urgent reports whether an urgent transfer is under way.
func (b *Budget) Urgent() bool { return b.urgent > 0 }

// Background returns how long a background transfer has to wait; 0 means that
// it may start and is charged to the share. While urgent transfers run it has
// to ask again after they have ended.
func (b *Budget) Background(now time.Time, bytes int) time.Duration {
	if wait := b.nextBackground.Sub(now); wait > 0 {
		return wait
	}
	if b.Urgent() {
		return b.moveTime(b.queued)
	}
	b.nextBackground = now.Add(min(maxBackgroundWait, time.Duration(float64(b.moveTime(bytes))/backgroundShare)))
	return 0
}

func (b *Budget) moveTime(bytes int) time.Duration {
	return max(time.Millisecond, time.Duration(float64(bytes)/b.rate*float64(time.Second)))
}

// ImportQuestion is a prompt whose prefix could be imported before its run.
type ImportQuestion struct {
	Class core.Class
	// Bytes is the size of the pieces; SavedBytes is the prompt text that would
	// not have to be recomputed.
	Bytes      int
	SavedBytes int
	// PrefillRate is in bytes of prompt text a second.
	PrefillRate float64
	// Left is the time until the run's deadline.
	Left time.Duration
}

// WorthImporting compares the time to import, at the measured rate and behind
// the urgent transfers under way, with the time to recompute. A deferrable run
// leaves the link to urgent ones and otherwise accepts an import that takes as
// long as recomputation, because it frees the engine.
func (b *Budget) WorthImporting(q ImportQuestion) bool {
	move := b.moveTime(q.Bytes + b.queued)
	recompute := time.Duration(float64(q.SavedBytes) / max(q.PrefillRate, 1) * float64(time.Second))
	if q.SavedBytes <= 0 || move > q.Left {
		return false
	}
	if q.Class == core.Deferrable {
		return !b.Urgent() && move <= recompute
	}
	return float64(move) < importMargin*float64(recompute)
}

// RankStores orders stores for a prompt by rendezvous hashing over its salt and
// first block, so that all prefixes of a prompt share a store and the loss of a
// store moves only its own prompts.
func RankStores(salt string, first core.BlockKey, stores []string) []string {
	return rendezvous.Ranked(stores, salt+"\x00"+string(first[:]), func(store string) string { return store })
}
