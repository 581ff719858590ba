package usage

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// failbackInterval is the time after a failure for which another candidate is used.
	failbackInterval = 2 * time.Second
	// finalTimeout is the timeout of the last hand-over of a planned stop.
	finalTimeout = 200 * time.Millisecond
	// droppedNotice is the time between two log lines on dropped calls.
	droppedNotice = 5 * time.Second
)

// localCounts are the counts of this process, with the number of the hand-over in which
// each of them last changed.
type localCounts struct {
	periods Periods
	number  uint64
	windows map[Window]map[core.WorkspaceID]*localCount
}

type localCount struct {
	calls   uint64
	changed uint64
}

func newLocalCounts(periods Periods) *localCounts {
	return &localCounts{periods: periods, windows: make(map[Window]map[core.WorkspaceID]*localCount)}
}

// add counts a call at a point in true time.
func (c *localCounts) add(at time.Duration, workspace core.WorkspaceID) {
	w := c.periods.windowAt(at)
	if c.windows[w] == nil {
		c.windows[w] = make(map[core.WorkspaceID]*localCount)
	}
	if c.windows[w][workspace] == nil {
		c.windows[w][workspace] = &localCount{}
	}
	count := c.windows[w][workspace]
	count.calls++
	count.changed = c.number
}

// since returns the counts that changed in a hand-over after the one with the given number.
func (c *localCounts) since(number uint64) map[Window]Counts {
	changed := make(map[Window]Counts)
	for w, counts := range c.windows {
		for workspace, count := range counts {
			if count.changed <= number {
				continue
			}
			if changed[w] == nil {
				changed[w] = make(Counts)
			}
			changed[w][workspace] = count.calls
		}
	}
	return changed
}

// prune removes windows that no process keeps any more.
func (c *localCounts) prune(now time.Duration) {
	for w := range c.windows {
		if c.periods.end(w)+c.periods.retention() < now {
			delete(c.windows, w)
		}
	}
}

// collectorLink is the state of the hand-over to one of the two collectors.
type collectorLink struct {
	index    int
	failedAt time.Duration
	address  string
	// incarnation is that of the collector, which has no counts after a restart.
	incarnation uint64
	// handedOver is the number of the last hand-over that the collector has received.
	handedOver uint64
	// through is the true time up to which the collector has received counts.
	through time.Duration
	// difference is the difference between the collector's clock and the local one.
	difference time.Duration
	connected  bool
}

// selectCollector selects the candidate. A new one has received nothing.
func (l *collectorLink) selectCollector(now time.Duration, candidates []fleet.Member) {
	if l.index > 0 && now-l.failedAt >= failbackInterval {
		l.index = 0
	}
	address := candidates[l.index%len(candidates)].Address
	if address != l.address {
		*l = collectorLink{index: l.index, failedAt: l.failedAt, address: address}
	}
}

// meterDuty is the state of the duty that counts calls and hands the counts over.
type meterDuty struct {
	*Meter
	counts    *localCounts
	links     [2]collectorLink
	noticedAt time.Duration
	dropped   uint64
}

// runMeter is the loop of the duty that counts calls and hands the counts over.
func (m *Meter) runMeter(ctx context.Context) error {
	d := &meterDuty{Meter: m, counts: newLocalCounts(m.opts.Periods)}
	for duty.Pause(ctx, handoverInterval) {
		d.handOver(ctx)
	}
	// The counts of the last moments of a planned stop. The book has stopped.
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
	defer cancel()
	d.send(final, d.count(final))
	return nil
}

// handOver counts the calls since the last hand-over and hands over what is new.
func (d *meterDuty) handOver(ctx context.Context) {
	own := d.count(ctx)
	own.Windows = d.counts.since(d.counts.number - 1)
	if _, err := d.askBook(ctx, []SourceReport{own}, false, 0); err != nil {
		d.opts.Log.WithField("event", "usage_unrecorded").WithError(err).Warn("counts of calls were not recorded in the local book")
	}
	d.send(ctx, own)
	d.correctClock()
}

// count counts the calls since the last hand-over and returns a report without windows.
func (d *meterDuty) count(ctx context.Context) SourceReport {
	d.counts.number++
	through := d.now()
	d.countCalls(ctx)
	d.counts.prune(through)
	return SourceReport{Source: Source{Node: d.opts.Self.Node, Incarnation: d.opts.Self.Incarnation}, Through: through}
}

// send sends each collector what it has not received.
func (d *meterDuty) send(ctx context.Context, own SourceReport) {
	inside, outside := collectorLists(d.opts.Members(), d.opts.Self.Domain)
	for i, candidates := range [][]fleet.Member{inside, outside} {
		if candidates = d.others(candidates); len(candidates) > 0 {
			d.handOverTo(ctx, &d.links[i], candidates, own)
		}
	}
}

func (d *meterDuty) others(members []fleet.Member) (others []fleet.Member) {
	for _, m := range members {
		if m.Address != d.opts.Self.Address {
			others = append(others, m)
		}
	}
	return others
}

// countCalls takes the calls from the ring.
func (d *meterDuty) countCalls(ctx context.Context) {
	n := int64(0)
	for c, ok := d.calls.TryReceive(); ok; c, ok = d.calls.TryReceive() {
		d.counts.add(d.opts.Clock.At(c.at), c.workspace)
		n++
	}
	if n > 0 {
		d.metered.Add(ctx, n)
	}
	dropped, now := d.calls.Dropped(), clock.SinceBoot()
	if dropped > d.dropped && now-d.noticedAt >= droppedNotice {
		d.opts.Log.WithFields(logrus.Fields{"event": "usage_dropped", "calls": dropped - d.dropped}).Warn("more calls began than can be counted; reports of usage are too low")
		d.dropped, d.noticedAt = dropped, now
	}
}

// handOverTo sends what a collector has not received. Without new counts it sends only the
// end of a window.
func (d *meterDuty) handOverTo(ctx context.Context, l *collectorLink, candidates []fleet.Member, own SourceReport) {
	now := clock.SinceBoot()
	l.selectCollector(now, candidates)
	own.Windows = d.counts.since(l.handedOver)
	if len(own.Windows) == 0 && d.opts.Periods.windowAt(l.through) == d.opts.Periods.windowAt(own.Through) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := d.now()
	reply, err := d.opts.Exchange(ctx, l.address, &wire.MeterRequest{Sender: d.opts.Sender(), Reports: encodeReports([]SourceReport{own})})
	if err != nil {
		if l.connected {
			d.opts.Log.WithFields(logrus.Fields{"event": "usage_collector_lost", "collector": l.address}).WithError(err).Warn("counts of calls were not handed over; another collector is used")
		}
		l.index++
		l.failedAt, l.connected = now, false
		return
	}
	d.opts.ObserveEpoch(reply.GetSender())
	l.connected = true
	l.difference = time.Duration(reply.GetNowMs())*time.Millisecond - (sentAt+d.now())/2
	if restarted := l.incarnation != 0 && l.incarnation != reply.GetSender().GetIncarnation(); restarted {
		l.incarnation, l.handedOver = reply.GetSender().GetIncarnation(), 0 // all counts are sent again
		return
	}
	l.incarnation, l.handedOver, l.through = reply.GetSender().GetIncarnation(), d.counts.number, own.Through
}

// correctClock corrects the clock by those of the collectors.
func (d *meterDuty) correctClock() {
	if !d.links[0].connected || !d.links[1].connected {
		return // one other clock does not tell which of the two is wrong
	}
	if correction := d.opts.Clock.Correct(d.links[0].difference, d.links[1].difference); correction != 0 {
		d.links[0].connected, d.links[1].connected = false, false // measured before the correction
		d.opts.Log.WithFields(logrus.Fields{"event": "clock_corrected", "by_ms": correction.Milliseconds()}).Warn("time of day was wrong at the start; the clocks of two other processes agree on another time")
	}
}
