package kvcache

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// rateSampleWeight is the weight of a new sample in the measured rate of a link.
	rateSampleWeight = 0.3
	// backgroundShare is the share of the link rate that background transfers may use.
	backgroundShare = 0.5
	// maxBackgroundWait limits the pause after a background transfer. Without the
	// limit, a measured rate that is too low would stop exports.
	maxBackgroundWait = time.Minute
	// maxImportRatio is the maximum import time as a fraction of the recomputation
	// time, for a run that is not deferrable. It is below 1 because the link may have
	// become slower since its rate was measured.
	maxImportRatio = 0.8
	// usageWindow is the period over which the use of a link is averaged.
	usageWindow = 2 * time.Second
	// minSampleDuration is the minimum duration of a transfer that may lower the
	// measured rate. The duration of a shorter transfer is mostly the round trip.
	minSampleDuration = 20 * time.Millisecond
	// rateLifetime is the time after the last measurement at which a measured rate
	// below the initial rate is replaced by the initial rate. Imports over a link that
	// was slow are then tried again.
	rateLifetime = 10 * time.Second
)

// LinkBudget divides one link between urgent transfers, which a run waits for, and
// background transfers. Urgent transfers have priority. Background transfers use at
// most backgroundShare of the measured rate.
type LinkBudget struct {
	initialRate     float64
	rate            float64
	measuredAt      time.Time
	urgentTransfers int
	// urgentBytes is the total size of the urgent transfers that have not finished.
	urgentBytes int
	// nextBackgroundAt is the earliest start of the next background transfer.
	nextBackgroundAt time.Time
	usedBytes        float64 // bytes in the usage window at usedBytesAt
	usedBytesAt      time.Time
}

// NewLinkBudget returns a budget with an initial rate in bytes per second, which
// applies until a rate has been measured.
func NewLinkBudget(rate float64) *LinkBudget {
	rate = max(rate, 1)
	return &LinkBudget{initialRate: rate, rate: rate}
}

// ExpireRate replaces a measured rate below the initial rate by the initial rate if the
// last measurement is older than rateLifetime.
func (b *LinkBudget) ExpireRate(now time.Time) {
	if now.Sub(b.measuredAt) > rateLifetime {
		b.rate = max(b.rate, b.initialRate)
	}
}

// Rate returns the current rate estimate in bytes per second.
func (b *LinkBudget) Rate() float64 { return b.rate }

// RecordTransfer updates the measured rate and the use of the link after a transfer.
// Concurrent transfers slow each other down, so the caller reports the total bytes and
// the total duration of a group of concurrent transfers as one transfer.
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

// RecordFailure records a failed transfer with the bytes transferred before the
// failure. It lowers the rate at once instead of averaging, because each further sample
// of a slow link would delay a run.
func (b *LinkBudget) RecordFailure(now time.Time, bytes int, elapsed time.Duration) {
	if elapsed > 0 {
		b.measuredAt = now
		b.rate = max(1, min(b.rate, float64(bytes)/elapsed.Seconds()))
	}
}

// recentBytes returns the bytes in the usage window. They decay linearly to 0 within
// usageWindow after usedBytesAt.
func (b *LinkBudget) recentBytes(now time.Time) float64 {
	age := max(0, now.Sub(b.usedBytesAt))
	return b.usedBytes * max(0, 1-age.Seconds()/usageWindow.Seconds())
}

// FreeRate returns the unused rate of the link in bytes per second.
func (b *LinkBudget) FreeRate(now time.Time) float64 {
	return max(0, b.rate-b.recentBytes(now)/usageWindow.Seconds())
}

// StartUrgent reserves the link for an urgent transfer.
func (b *LinkBudget) StartUrgent(bytes int) {
	b.urgentTransfers++
	b.urgentBytes += bytes
}

// FinishUrgent releases the reservation of an urgent transfer. The number of bytes must
// be the one passed to StartUrgent.
func (b *LinkBudget) FinishUrgent(bytes int) {
	b.urgentTransfers--
	b.urgentBytes -= bytes
}

// HasUrgent reports whether an urgent transfer is in progress.
func (b *LinkBudget) HasUrgent() bool { return b.urgentTransfers > 0 }

// ReserveBackground returns 0 if a background transfer may start now, and then sets the
// pause after it. Otherwise it returns an estimate of the wait, and the caller calls it
// again later. The estimate is the rest of the pause or, without a pause, the time
// until the urgent transfers in progress finish.
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

// ImportEstimate contains the expected cost and benefit of importing a cached prefix
// before a run.
type ImportEstimate struct {
	Class core.Class
	// TransferBytes is the size of the pieces to import. SavedPromptBytes is the size
	// of the prompt text that would not be recomputed.
	TransferBytes    int
	SavedPromptBytes int
	// PrefillRate is the prefill rate of the engine in bytes of prompt text per second.
	PrefillRate float64
	// TimeLeft is the time until the deadline of the run.
	TimeLeft time.Duration
}

// WorthImporting reports whether an import is worthwhile. The import time at the
// current rate includes the urgent transfers in progress and must not exceed the time
// left. The import for a run that is not deferrable must take less than maxImportRatio
// of the recomputation time. The import for a deferrable run may take as long as
// recomputation, because an import leaves the engine free for other runs. It is not
// worthwhile while an urgent transfer is in progress.
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

// RankStores ranks stores for a prompt by rendezvous hashing of the salt and the first
// block. All prefixes of a prompt therefore use the same store. The loss of a store
// affects only the prompts of that store.
func RankStores(salt string, firstBlock core.BlockKey, stores []string) []string {
	return rendezvous.Ranked(stores, salt+"\x00"+string(firstBlock[:]), func(store string) string { return store })
}
