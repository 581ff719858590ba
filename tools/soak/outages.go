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
	// freezeBeyondLease is the shortest freeze that outlasts a lease.
	freezeBeyondLease = leaseTime + 300*time.Millisecond
	// cutBeyondLease is the shortest cut after which the next holder has acted.
	cutBeyondLease = 2*leaseTime + time.Second
	// lateWriteDelay is the longest time after a restore at which late writes arrive.
	lateWriteDelay = 500 * time.Millisecond
)

// holderIndex returns the index of the front that has reported usage last, or -1.
func (w *world) holderIndex() int { return slices.Index(w.fronts, w.lastHolder.Load()) }

// drawOutage returns a fault of all fronts, of a zone, of the platform's interface for
// duties, of the store together with late writes, or a part that crashes servers; a fault
// without run for other kinds.
func (w *world) drawOutage(kind int, f *front, random *rand.Rand) fault {
	cloud := func(name string, state linkState) fault {
		return fault{name: name + " for " + f.name, touches: cloudLink(f.name), run: func(ctx context.Context, lasts time.Duration) {
			f.cloud.set(state)
			duty.Pause(ctx, lasts)
			f.cloud.set(open)
		}}
	}
	switched := func(name string, set func(bool)) fault {
		return fault{name: name, run: func(ctx context.Context, lasts time.Duration) {
			set(true)
			duty.Pause(ctx, lasts)
			set(false)
		}}
	}
	switch kind {
	case allEnd:
		return fault{name: "all fronts end", run: w.endAll}
	case longFreeze:
		return fault{name: "freeze " + f.name + " over its leases", touches: f.name, disrupts: true, run: func(ctx context.Context, lasts time.Duration) {
			f.child.Load().signal(syscall.SIGSTOP)
			duty.Pause(ctx, freezeBeyondLease+lasts/2)
			f.child.Load().signal(syscall.SIGCONT)
		}}
	case cloudSilent:
		return cloud("platform silent", silent)
	case cloudResets:
		return cloud("platform resets", resetting)
	case frontCut:
		return fault{name: f.name + " cut off from store and platform", touches: f.name, run: func(ctx context.Context, lasts time.Duration) {
			f.store.set(silent)
			f.cloud.set(holding)
			w.noteSpan(begin, cloudLink(f.name))
			duty.Pause(ctx, cutBeyondLease+lasts/2)
			f.store.set(open)
			f.cloud.set(open)
			w.noteSpan(end, cloudLink(f.name))
		}}
	case cloudAnswersLost:
		return switched("answers of the platform are lost", w.cloud.SetLoseAnswers)
	case cloudRefuses:
		return switched("platform refuses all duties", w.cloud.SetDark)
	case zoneCut:
		zone := random.IntN(len(zones))
		return fault{name: "cut and evacuation of " + zones[zone], run: func(ctx context.Context, lasts time.Duration) { w.cutZone(ctx, zone, lasts) }}
	case lateWrites:
		return fault{name: "store restored from a copy, with late writes", run: w.restoreWithLateWrites}
	case refusingPart, silentPart:
		name := fmt.Sprintf("bad-%d", len(w.faults))
		if kind == silentPart {
			name += silentSuffix
		}
		return fault{name: "part " + name + " crashes servers", run: func(ctx context.Context, lasts time.Duration) {
			ctx, cancel := context.WithTimeout(ctx, partTime+lasts)
			defer cancel()
			w.sendBadPart(ctx, name)
		}}
	default:
		return fault{}
	}
}

// endAll kills all fronts at once and starts them again.
func (w *world) endAll(ctx context.Context, lasts time.Duration) {
	var all conc.WaitGroup
	for _, f := range w.fronts {
		kill := fault{touches: f.name, disrupts: true, run: func(ctx context.Context, _ time.Duration) {
			w.restart(ctx, f, syscall.SIGKILL, restartPause)
		}}
		all.Go(func() { w.apply(ctx, kill, lasts) })
	}
	all.Wait()
}

// restoreWithLateWrites restores the store from a copy. The last writes before it have no
// answers and arrive after it.
func (w *world) restoreWithLateWrites(ctx context.Context, lasts time.Duration) {
	holdWrites := time.AfterFunc(lasts/2, func() { w.store.HoldWrites(true) })
	defer holdWrites.Stop()
	w.restoreStore(ctx, lasts)
	w.store.HoldWrites(false)
	duty.Pause(ctx, min(lateWriteDelay, lasts/2))
	performed, waited := w.store.PerformLateWrites()
	w.ledger.note(entry{lateWrites: waited, performedWrites: performed})
}
