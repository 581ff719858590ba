package kvcache

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// rateSampleWeight is the weight of a new sample in a measured rate.
	rateSampleWeight = 0.3
	// backgroundShare is the part of a link that background transfers may use.
	backgroundShare = 0.5
	// maxBackgroundWait bounds the pause after a background transfer, so that a
	// rate that was measured too low does not stop exports.
	maxBackgroundWait = time.Minute
	// maxImportRatio is how much faster than recomputation an urgent import must
	// be, because a rate measured on earlier transfers may no longer hold.
	maxImportRatio = 0.8
	// usageWindow is the period over which the use of a link is averaged.
	usageWindow = 2 * time.Second
	// minSampleDuration is the shortest transfer that may lower the measured rate.
	// Shorter ones mostly measure the round trip.
	minSampleDuration = 20 * time.Millisecond
	// rateLifetime is how long a measured rate holds without a new transfer. A
	// link that was slow for a time is then tried again.
	rateLifetime = 10 * time.Second
)

// LinkBudget shares one link between urgent transfers, which go first, and
// background transfers, which use at most a share of the measured rate.
type LinkBudget struct {
	initialRate     float64
	rate            float64
	measuredAt      time.Time
	urgentTransfers int
	// urgentBytes is the number of urgent bytes not yet moved.
	urgentBytes int
	// nextBackgroundAt is when the share allows the next background transfer.
	nextBackgroundAt time.Time
	usedBytes        float64 // bytes in the window, decaying
	usedBytesAt      time.Time
}

// NewLinkBudget returns a budget that assumes a rate in bytes a second until one
// has been measured.
func NewLinkBudget(rate float64) *LinkBudget {
	rate = max(rate, 1)
	return &LinkBudget{initialRate: rate, rate: rate}
}

// ExpireRate returns to the assumed rate when the measured one is too old.
func (b *LinkBudget) ExpireRate(now time.Time) {
	if now.Sub(b.measuredAt) > rateLifetime {
		b.rate = max(b.rate, b.initialRate)
	}
}

// Rate returns the measured rate in bytes a second.
func (b *LinkBudget) Rate() float64 { return b.rate }

// RecordTransfer records a finished transfer. Transfers that overlap each take longer
// than alone, so the caller reports the bytes and duration of a whole group.
func (b *LinkBudget) RecordTransfer(now time.Time, bytes int, elapsed time.Duration) {
	b.usedBytes = b.recentBytes(now) + float64(bytes)
	b.usedBytesAt = now
	if elapsed <= 0 || bytes <= 0 {
		return
	}
	sample := float64(bytes) / elapsed.Seconds()
	if sample < b.rate && elapsed < minSampleDuration {
		return
	}
	b.measuredAt = now
	b.rate = max(1, (1-rateSampleWeight)*b.rate+rateSampleWeight*sample)
}

// RecordFailure records that a transfer has moved no more than the given bytes in the
// time. The rate falls at once: a few more samples would each delay a run.
func (b *LinkBudget) RecordFailure(now time.Time, bytes int, elapsed time.Duration) {
	if elapsed > 0 {
		b.measuredAt = now
		b.rate = max(1, min(b.rate, float64(bytes)/elapsed.Seconds()))
	}
}

func (b *LinkBudget) recentBytes(now time.Time) float64 {
	age := max(0, now.Sub(b.usedBytesAt))
	return b.usedBytes * max(0, 1-age.Seconds()/usageWindow.Seconds())
}

// FreeRate returns the part of the rate that is not in use, in bytes a second.
func (b *LinkBudget) FreeRate(now time.Time) float64 {
	return max(0, b.rate-b.recentBytes(now)/usageWindow.Seconds())
}

// StartUrgent reserves the link for an urgent transfer.
func (b *LinkBudget) StartUrgent(bytes int) {
	b.urgentTransfers++
	b.urgentBytes += bytes
}

// FinishUrgent ends an urgent transfer of the same number of bytes.
func (b *LinkBudget) FinishUrgent(bytes int) {
	b.urgentTransfers--
	b.urgentBytes -= bytes
}

// HasUrgent reports whether an urgent transfer is under way.
func (b *LinkBudget) HasUrgent() bool { return b.urgentTransfers > 0 }

// ReserveBackground returns how long a background transfer has to wait; 0 means that
// it may start and is charged to the share. While urgent transfers run it has
// to ask again after they have ended.
func (b *LinkBudget) ReserveBackground(now time.Time, bytes int) time.Duration {
	if wait := b.nextBackgroundAt.Sub(now); wait > 0 {
		return wait
	}
	if b.HasUrgent() {
		return b.transferTime(b.urgentBytes)
	}
	b.nextBackgroundAt = now.Add(min(maxBackgroundWait, time.Duration(float64(b.transferTime(bytes))/backgroundShare)))
	return 0
}

func (b *LinkBudget) transferTime(bytes int) time.Duration {
	return max(time.Millisecond, time.Duration(float64(bytes)/b.rate*float64(time.Second)))
}

// ImportEstimate is a prompt whose prefix could be imported before its run.
type ImportEstimate struct {
	Class core.Class
	// TransferBytes is the size of the pieces; SavedBytes is the prompt text that would
	// not have to be recomputed.
	TransferBytes    int
	SavedPromptBytes int
	// PrefillRate is in bytes of prompt text a second.
	PrefillRate float64
	// TimeLeft is the time until the run's deadline.
	TimeLeft time.Duration
}

// WorthImporting compares the time to import, at the measured rate and behind
// the urgent transfers under way, with the time to recompute. A deferrable run
// leaves the link to urgent ones and otherwise accepts an import that takes as
// long as recomputation, because it frees the engine.
func (b *LinkBudget) WorthImporting(estimate ImportEstimate) bool {
	importTime := b.transferTime(estimate.TransferBytes + b.urgentBytes)
	recomputeTime := time.Duration(float64(estimate.SavedPromptBytes) / max(estimate.PrefillRate, 1) * float64(time.Second))
	if estimate.SavedPromptBytes <= 0 || importTime > estimate.TimeLeft {
		return false
	}
	if estimate.Class == core.Deferrable {
		return !b.HasUrgent() && importTime <= recomputeTime
	}
	return float64(importTime) < maxImportRatio*float64(recomputeTime)
}

// RankStores orders stores for a prompt by rendezvous hashing over its salt and
// first block, so that all prefixes of a prompt share a store and the loss of a
// store moves only its own prompts.
func RankStores(salt string, firstBlock core.BlockKey, stores []string) []string {
	return rendezvous.Ranked(stores, salt+"\x00"+string(firstBlock[:]), func(store string) string { return store })
}
