package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/duty"
)

const (
	// faultGap is the mean time between two faults; they overlap.
	faultGap = 900 * time.Millisecond
	// faultTime is the longest that a fault lasts, restartPause how long a process
	// is down.
	faultTime    = 2500 * time.Millisecond
	restartPause = 300 * time.Millisecond
	// seriesGap is the time between two of the planned stops in a series, which
	// overlap. signalGap is the time after which a planned stop gets further signals.
	seriesGap = 500 * time.Millisecond
	signalGap = 400 * time.Millisecond
)

// fault changes something and puts it back after a time.
type fault struct {
	name string
	run  func(ctx context.Context, lasts time.Duration)
	// touches is the front or the server's link that the fault touches, if it is one.
	touches string
	// disrupts is set when the fault kills or suspends the front.
	disrupts bool
}

// inject draws faults until the time is over and waits until all have ended.
func (w *world) inject(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.o.Seed, 1))
	begun := time.Now()
	var running conc.WaitGroup
	defer running.Wait()
	b := bookings{busy: make([]time.Time, len(w.fronts)), drained: make(map[*server]time.Time)}
	w.configure() // each run has a key that was removed
	for {
		duty.Pause(ctx, faultGap/2+time.Duration(random.Int64N(int64(faultGap))))
		lasts := faultTime/5 + time.Duration(random.Int64N(int64(faultTime*4/5)))
		i, server := random.IntN(len(w.fronts)), w.servers[random.IntN(len(w.servers))]
		kind := stopsInSeries + random.IntN(faultKinds+1) // the first kind is stopsInSeries, -1
		ofHolder := random.IntN(2) == 0
		if ctx.Err() != nil || time.Since(begun) > w.o.For-faultTime {
			return
		}
		if holder := w.holderIndex(); holder >= 0 && ofHolder {
			i = holder
		}
		if kind == stopsInSeries {
			w.faults = append(w.faults, fmt.Sprintf("%.1fs stops in series", time.Since(begun).Seconds()))
			w.stopInSeries(ctx, &running, b.busy, lasts)
			continue
		}
		f := w.drawOutage(kind, w.fronts[i], random)
		if f.run == nil {
			f = w.draw(kind, w.fronts[i], server)
		}
		if !b.take(kind, i, server, lasts) {
			continue
		}
		w.faults = append(w.faults, fmt.Sprintf("%.1fs %s for %s", time.Since(begun).Seconds(), f.name, lasts.Round(time.Millisecond)))
		running.Go(func() { w.apply(ctx, f, lasts) })
	}
}

// bookings are the times until which fronts are being stopped or started, and servers
// drained.
type bookings struct {
	busy    []time.Time
	drained map[*server]time.Time
}

// take books what a fault needs. It returns false if another fault has it.
func (b *bookings) take(kind, front int, s *server, lasts time.Duration) bool {
	now := time.Now()
	switch {
	case kind == allEnd:
		if slices.ContainsFunc(b.busy, now.Before) {
			return false
		}
		for i := range b.busy {
			b.busy[i] = now.Add(grace + lasts + 2*restartPause)
		}
	case kind < storeSilent || kind == longFreeze || kind == frontCut:
		if now.Before(b.busy[front]) {
			return false
		}
		b.busy[front] = now.Add(grace + freezeBeyondLease + lasts + 2*restartPause)
	case kind == changeAndDrain || kind == longDrain:
		if now.Before(b.drained[s]) {
			return false
		}
		b.drained[s] = now.Add(drainBound + lasts + restartPause)
	}
	return true
}

// apply runs a fault and notes when it touches a front or a link.
func (w *world) apply(ctx context.Context, f fault, lasts time.Duration) {
	note := func(change func(map[string][]span, string, time.Time)) {
		w.ledger.note(entry{change: func(t *timeline, at time.Time) {
			change(t.touched, f.touches, at)
			if f.disrupts {
				change(t.disrupted, f.touches, at)
			}
		}})
	}
	note(begin)
	f.run(ctx, lasts)
	note(end)
}

// stopInSeries stops the fronts one after the other, so that the stops overlap. It
// leaves out fronts whose processes are already being stopped.
func (w *world) stopInSeries(ctx context.Context, running *conc.WaitGroup, busy []time.Time, lasts time.Duration) {
	delay := time.Duration(0)
	for i, f := range w.fronts {
		if time.Now().Before(busy[i]) {
			continue
		}
		busy[i] = time.Now().Add(delay + grace + 2*restartPause)
		after := delay
		running.Go(func() {
			duty.Pause(ctx, after)
			w.apply(ctx, w.draw(plannedStop, f, nil), lasts)
		})
		delay += seriesGap
	}
}

// Kinds of faults. A seed draws the same faults only while their order does not change. The
// kinds before storeSilent stop or start the process of one front.
const (
	stopsInSeries = iota - 1
	kill
	plannedStop
	freeze
	storeSilent
	storeResets
	storeAnswersLost
	serverSilent
	serverResets
	serverDelayed
	serverLosesAnswers
	serverRejects
	serverBreaksOff
	changeAndDrain
	longDrain
	storeRestored
	allEnd
	longFreeze
	cloudSilent
	cloudResets
	cloudAnswersLost
	cloudRefuses
	zoneCut
	lateWrites
	refusingPart
	silentPart
	frontCut
	faultKinds
)

func (w *world) draw(kind int, f *front, s *server) fault {
	link := func(name string, p *proxy, state linkState, touches string) fault {
		return fault{name: name, touches: touches, run: func(ctx context.Context, lasts time.Duration) {
			p.set(state)
			duty.Pause(ctx, lasts)
			p.set(open)
		}}
	}
	failing := func(name string, how int32) fault {
		return fault{name: name, run: func(ctx context.Context, lasts time.Duration) {
			s.failing.Store(how)
			duty.Pause(ctx, lasts)
			s.failing.Store(sound)
		}}
	}
	switch kind {
	case kill:
		return fault{name: "kill " + f.name, touches: f.name, disrupts: true, run: func(ctx context.Context, lasts time.Duration) { w.restart(ctx, f, syscall.SIGKILL, lasts/2) }}
	case plannedStop:
		return fault{name: "stop " + f.name, touches: f.name, run: func(ctx context.Context, _ time.Duration) {
			c := f.child.Load()
			signals := time.AfterFunc(signalGap, func() {
				c.signal(syscall.SIGHUP)
				c.signal(syscall.SIGTERM)
			})
			defer signals.Stop()
			w.restart(ctx, f, syscall.SIGTERM, restartPause)
		}}
	case freeze:
		return fault{name: "freeze " + f.name, touches: f.name, disrupts: true, run: func(ctx context.Context, lasts time.Duration) {
			f.child.Load().signal(syscall.SIGSTOP)
			duty.Pause(ctx, lasts)
			f.child.Load().signal(syscall.SIGCONT)
		}}
	case storeSilent:
		return link("store silent for "+f.name, f.store, silent, f.name)
	case storeResets:
		return link("store resets "+f.name, f.store, resetting, f.name)
	case storeAnswersLost:
		return link("store's answers lost for "+f.name, f.store, answersLost, f.name)
	case serverSilent:
		return link("link to "+s.id+" silent", s.link, silent, s.id)
	case serverResets:
		return link("link to "+s.id+" resets", s.link, resetting, s.id)
	case serverDelayed:
		return link("link to "+s.id+" delayed", s.link, delayed, s.id)
	case serverLosesAnswers:
		return failing(s.id+" loses answers", losesAnswers)
	case serverRejects:
		return failing(s.id+" rejects", rejects)
	case serverBreaksOff:
		return failing(s.id+" breaks off", breaksOff)
	case changeAndDrain:
		return fault{name: "configuration and settings change, " + s.id + " drains", run: func(ctx context.Context, lasts time.Duration) {
			w.configure()
			for _, f := range w.fronts {
				f.child.Load().signal(syscall.SIGHUP)
			}
			w.drain(ctx, s, lasts)
		}}
	case storeRestored:
		return fault{name: "store restored from a copy", run: w.restoreStore}
	default:
		return fault{name: s.id + " drains for long", run: func(ctx context.Context, lasts time.Duration) {
			w.drain(ctx, s, drainBound+lasts)
		}}
	}
}

// restoreStore replaces the store's content by a copy that is as old as the fault is
// long. The store is away for a moment before.
func (w *world) restoreStore(ctx context.Context, lasts time.Duration) {
	copied := w.store.Copy()
	duty.Pause(ctx, lasts)
	for _, f := range w.fronts {
		w.ledger.note(entry{change: func(t *timeline, at time.Time) { begin(t.touched, f.name, at) }})
		f.store.set(resetting)
	}
	duty.Pause(ctx, restartPause)
	w.restore(copied)
	for _, f := range w.fronts {
		f.store.set(open)
		w.ledger.note(entry{change: func(t *timeline, at time.Time) { end(t.touched, f.name, at) }})
	}
}

// drain drains a server for a time.
func (w *world) drain(ctx context.Context, s *server, lasts time.Duration) {
	w.list(s, true)
	w.ledger.note(entry{change: func(t *timeline, at time.Time) { begin(t.drained, s.id, at) }})
	duty.Pause(ctx, lasts)
	w.ledger.note(entry{change: func(t *timeline, at time.Time) { end(t.drained, s.id, at) }})
	w.list(s, false)
}

// restart ends a front's process with a signal and starts it again. A planned
// stop that outlasts its grace time is killed, as the platform does.
func (w *world) restart(ctx context.Context, f *front, signal syscall.Signal, down time.Duration) {
	c := f.child.Load()
	c.wanted.Store(true)
	c.signal(signal)
	select {
	case <-c.ended:
	case <-time.After(grace):
		c.end()
	}
	duty.Pause(ctx, down)
	if err := w.launch(f); err != nil {
		w.ledger.note(entry{id: f.name, broken: err.Error()})
	}
}
