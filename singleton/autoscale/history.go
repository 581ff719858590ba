package autoscale

import (
	"math"
	"time"
)

const (
	// stepsPerLead is the number of steps into which the lead time is divided, unless they
	// are shorter than minStep. A step has several observations, so that a late one leaves
	// no step without any.
	stepsPerLead = 32
	minStep      = 2 * decisionInterval
	// holdLeads is the default hold time as a multiple of the lead time. A wave with a
	// shorter period is held at its peak.
	holdLeads   = 8
	minHoldTime = time.Minute
	// maxSteps is the largest number of steps of a history.
	maxSteps = 512
	// minTrendSteps is the smallest number of steps from which a trend is computed.
	minTrendSteps = 5
	// maxTrendFactor bounds the demand that a trend foresees to a multiple of the present
	// demand.
	maxTrendFactor = 3
	// repeatedShare is the share of the present demand above which an earlier peak shows that
	// the demand rises to a level that it has had before. A trend then foresees at most that
	// peak, since the rising parts of waves would otherwise be continued above their tops.
	repeatedShare = 0.95
	// minHeadroom and maxHeadroom bound the factor for bursts. headroomHalfLife is the time
	// in which the memory of a burst decays to half.
	minHeadroom      = 1.15
	maxHeadroom      = 1.5
	headroomHalfLife = 15 * time.Minute
	// periodSlots is the number of slots into which the known period is divided.
	periodSlots = 96
)

// stepRecord is what a history has of one step of time.
type stepRecord struct {
	number int64
	// calls is the highest demand in the step. It is a lower bound unless complete is set.
	calls    float64
	complete bool
	// foreseen is the demand for which upstreams were needed in this step.
	foreseen float64
}

// periodRecord is the highest demand in a slot of the known period.
type periodRecord struct {
	cycle int64
	calls float64
}

// history is the demand for a service over time. Its size is bounded.
type history struct {
	lead, hold, step, period time.Duration
	records                  []stepRecord
	newest                   int64
	oldest                   int64
	// burst is the largest share by which demand exceeded what was foreseen, as of burstAt.
	burst   float64
	burstAt time.Time
	// previous and current are the slots of the last two cycles of the period.
	current, previous [periodSlots]periodRecord
}

func newHistory(lead time.Duration, opts Options) *history {
	hold := opts.HoldTime
	if hold <= 0 {
		hold = max(holdLeads*lead, minHoldTime)
	}
	step := max(minStep, lead/stepsPerLead, hold/(maxSteps/2), 2*lead/maxSteps)
	count := max(int(hold/step), int(lead/step)+1) + 2
	period := opts.Period
	if period <= hold {
		period = 0 // the hold time contains whole periods
	}
	return &history{lead: lead, hold: hold, step: step, period: period, records: make([]stepRecord, count)}
}

func (h *history) number(at time.Time) int64 { return at.UnixNano() / int64(h.step) }

// record returns the record of a step, or nil if there is none.
func (h *history) record(number int64) *stepRecord {
	r := &h.records[number%int64(len(h.records))]
	if number <= 0 || r.number != number {
		return nil
	}
	return r
}

// observe adds a demand. unit is the demand that one upstream serves: deviations below it
// are no bursts.
func (h *history) observe(now time.Time, calls float64, complete bool, unit float64) {
	n := h.number(now)
	if h.oldest == 0 {
		h.oldest = n
	}
	if n < h.newest {
		return // the clock was set back
	}
	r := &h.records[n%int64(len(h.records))]
	if r.number != n {
		*r = stepRecord{number: n, complete: true}
	}
	h.newest = n
	r.calls = max(r.calls, calls)
	r.complete = r.complete && complete
	h.observeBurst(now, calls, n, unit)
	h.observePeriod(now, calls)
	peak, _ := h.peak(n, 0)
	r.foreseen = max(r.foreseen, h.trend(n), peak, h.periodic(now))
}

// observeBurst compares a demand with what was foreseen for it one lead time ago.
func (h *history) observeBurst(now time.Time, calls float64, n int64, unit float64) {
	earlier := h.record(n - int64(h.lead/h.step))
	if earlier == nil || earlier.foreseen <= 0 || !earlier.complete {
		return
	}
	if share := (calls - earlier.foreseen) / max(earlier.foreseen, unit); share > h.burstShare(now) {
		h.burst, h.burstAt = share, now
	}
}

func (h *history) burstShare(now time.Time) float64 {
	if h.burst <= 0 {
		return 0
	}
	return h.burst * math.Exp2(-float64(now.Sub(h.burstAt))/float64(headroomHalfLife))
}

// headroom returns the factor for bursts that the past shows.
func (h *history) headroom(now time.Time) float64 {
	return min(max(1+h.burstShare(now), minHeadroom), maxHeadroom)
}

// level returns the highest demand in a step and the one before.
func (h *history) level(n int64) float64 {
	var calls float64
	for _, number := range []int64{n, n - 1} {
		if r := h.record(number); r != nil {
			calls = max(calls, r.calls)
		}
	}
	return calls
}

// trend returns the demand that is foreseen from a step on for the end of the lead time: at
// least the present one, and more if the demand has risen.
func (h *history) trend(n int64) float64 {
	level := h.level(n)
	steps := max(int64(h.lead/h.step), minTrendSteps)
	var count, sumX, sumY, sumXX, sumXY float64
	for i := range steps {
		r := h.record(n - i)
		if r == nil || !r.complete {
			continue
		}
		x := -float64(i)
		count++
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+r.calls, sumXX+x*x, sumXY+x*r.calls
	}
	spread := count*sumXX - sumX*sumX
	if count < minTrendSteps || spread <= 0 {
		return level
	}
	slope := (count*sumXY - sumX*sumY) / spread
	if slope <= 0 {
		return level
	}
	fitted := (sumY-slope*sumX)/count + slope*float64(h.lead)/float64(h.step)
	foreseen := min(fitted, maxTrendFactor*level)
	if earlier, _ := h.peak(n, steps); earlier >= repeatedShare*level {
		foreseen = min(foreseen, earlier)
	}
	return max(level, foreseen)
}

// peak returns the highest demand within the hold time that ends a number of steps before a
// step, and whether all of that time was observed completely.
func (h *history) peak(n, skipped int64) (calls float64, complete bool) {
	complete = true
	for i := skipped; i < int64(h.hold/h.step); i++ {
		r := h.record(n - i)
		if r == nil {
			complete = false
			continue
		}
		calls = max(calls, r.calls)
		complete = complete && r.complete
	}
	return calls, complete
}

// mean returns the mean demand of the observed steps of the hold time.
func (h *history) mean(n int64) float64 {
	var sum, count float64
	for i := range int64(h.hold / h.step) {
		if r := h.record(n - i); r != nil {
			sum += r.calls
			count++
		}
	}
	return sum / max(count, 1)
}

// observePeriod adds a demand to the current cycle of the known period.
func (h *history) observePeriod(now time.Time, calls float64) {
	if h.period <= 0 {
		return
	}
	cycle, slot := h.slot(now)
	r := &h.current[slot]
	if r.cycle != cycle {
		h.previous[slot] = *r
		*r = periodRecord{cycle: cycle}
	}
	r.calls = max(r.calls, calls)
}

func (h *history) slot(at time.Time) (cycle int64, slot int) {
	return at.UnixNano() / int64(h.period), int(at.UnixNano() % int64(h.period) / (int64(h.period)/periodSlots + 1))
}

// periodic returns the highest demand of the last cycle of the known period in the slots
// from now until the end of the lead time.
func (h *history) periodic(now time.Time) float64 {
	if h.period <= 0 {
		return 0
	}
	var calls float64
	slotTime := h.period / periodSlots
	for at := now; !at.After(now.Add(h.lead + slotTime)); at = at.Add(slotTime) {
		cycle, slot := h.slot(at)
		for _, r := range []periodRecord{h.current[slot], h.previous[slot]} {
			if r.cycle == cycle-1 {
				calls = max(calls, r.calls)
			}
		}
	}
	return calls
}

// forecast is the demand for which upstreams are ordered.
type forecast struct {
	// calls is the demand that is foreseen for the lead time, without headroom.
	calls    float64
	headroom float64
	// held is the highest demand of the hold time or, if it is higher, of the last cycle of
	// the known period.
	held float64
	// mean is the mean demand of the hold time. A burst is expected to exceed it, not the top
	// of an earlier burst.
	mean float64
	// complete is set if all of the hold time was observed completely.
	complete bool
}

// foreseen returns the demand that all upstreams together are to serve.
func (f forecast) foreseen() float64 {
	return max(f.calls, f.held, f.mean*f.headroom)
}

func (h *history) forecast(now time.Time) forecast {
	n := h.number(now)
	if h.record(n) == nil {
		n-- // the step that has just begun has no observation yet
	}
	peak, complete := h.peak(n, 0)
	return forecast{
		calls: h.trend(n), headroom: h.headroom(now), held: max(peak, h.periodic(now)), mean: h.mean(n), complete: complete,
	}
}
