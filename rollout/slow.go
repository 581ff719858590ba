package rollout

import (
	"math"
	"time"
)

const (
	// slowAlarmShare is the share of the false alarm rate that the tests for hard
	// slowness and for the share of slow calls may use together.
	slowAlarmShare = 0.25
	// maxSlowSeries bounds the series of latencies that are compared.
	maxSlowSeries = 256
)

// hardSlownessRates are the alternatives tested against the accepted rate, with one
// stake each: the shares of attempts on the new version that are slower than a whole
// block of attempts on the old one.
var hardSlownessRates = [...]float64{0.5, 0.9}

// hardSlownessTest is a sequential test for a version that is several times slower. It
// needs few samples of the new version because it compares each of them with many
// samples of the old one, like hardFailureTest.
//
// Only latencies of one series are compared: those of the same group and of similar
// size. An attempt on the new version forms a block with the k attempts on the old one
// shortly before it and the first ones after it. The event of a block is that its
// latency exceeds SlowFactor times the largest of the others, plus SlowOffset. If the
// latencies of both versions have the same distribution, each attempt of the block is
// the slowest with the same probability, so that the event has the probability
// 1/(k+1) at most, whatever the distribution is.
type hardSlownessTest struct {
	blocks float64
	stake  [len(hardSlownessRates)]float64
	series map[slowSeries]*latencyBlock
}

// slowSeries identifies latencies that can be compared.
type slowSeries struct {
	group  CallGroup
	bucket int
}

// latencyBlock contains the latencies of a series that are in no complete block.
type latencyBlock struct {
	unassigned recentStack[time.Duration]
	// The fields below describe the open block.
	open             bool
	openedAt         time.Time
	newLatency       time.Duration
	maxOldLatency    time.Duration
	oldAttempts      int
	oldAttemptsAfter int
}

// value returns the value of the test.
func (h *hardSlownessTest) value() float64 {
	sum := 0.0
	for _, s := range h.stake {
		sum += s
	}
	return sum
}

// blockFor returns the block of a sample's series, or nil if there are too many series.
func (h *hardSlownessTest) blockFor(s Sample) *latencyBlock {
	key := slowSeries{group: s.Group, bucket: latencyBucket(s)}
	if b := h.series[key]; b != nil {
		return b
	}
	if len(h.series) >= maxSlowSeries {
		return nil
	}
	if h.series == nil {
		h.series = make(map[slowSeries]*latencyBlock)
	}
	b := new(latencyBlock)
	h.series[key] = b
	return b
}

// addOld adds an attempt on the old version.
func (h *hardSlownessTest) addOld(s Sample, limits Limits) {
	b := h.blockFor(s)
	if b == nil || s.Failed || s.Latency <= 0 {
		return
	}
	if b.open && s.FinishedAt.Sub(b.openedAt) > limits.PairWindow {
		b.open = false
	}
	if !b.open {
		b.unassigned.push(s.Latency, s.FinishedAt)
		return
	}
	b.addOld(s.Latency)
	b.oldAttemptsAfter++
	if b.oldAttemptsAfter == requiredOldAfter {
		b.open = false
		h.addBlock(b, limits)
	}
}

func (b *latencyBlock) addOld(latency time.Duration) {
	b.oldAttempts++
	b.maxOldLatency = max(b.maxOldLatency, latency)
}

// addNew adds an attempt on the new version. The attempt is ignored while a block of
// its series is open.
func (h *hardSlownessTest) addNew(s Sample, limits Limits) {
	b := h.blockFor(s)
	if b == nil || s.Failed || s.Latency <= 0 || b.open && s.FinishedAt.Sub(b.openedAt) <= limits.PairWindow {
		return
	}
	b.open, b.openedAt, b.newLatency = true, s.FinishedAt, s.Latency
	b.maxOldLatency, b.oldAttempts, b.oldAttemptsAfter = 0, 0, 0
	for b.oldAttempts < maxBlockAttempts-requiredOldAfter {
		latency, ok := b.unassigned.pop(s.FinishedAt, limits.PairWindow)
		if !ok {
			break
		}
		b.addOld(latency)
	}
}

// addBlock adds a complete block to the stakes.
func (h *hardSlownessTest) addBlock(b *latencyBlock, limits Limits) {
	p0 := 1 / float64(b.oldAttempts+1)
	limit := time.Duration(limits.SlowFactor*float64(b.maxOldLatency)) + limits.SlowOffset
	// As in evidence, the capital is distributed over all start times.
	added := (unstakedCapital(h.blocks) - unstakedCapital(h.blocks+1)) / float64(len(hardSlownessRates))
	h.blocks++
	for i, rate := range hardSlownessRates {
		factor := (1 - rate) / (1 - p0)
		if b.newLatency > limit {
			factor = rate / p0
		}
		h.stake[i] = min((h.stake[i]+added)*factor, math.MaxFloat32)
	}
}
