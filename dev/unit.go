package dev

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/daemon"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/stores"
)

// restartPause is how long the platform takes to replace a process.
const restartPause = 300 * time.Millisecond

// unitState is where a unit stands in its life.
type unitState int32

const (
	unitGone unitState = iota
	unitLive
	unitLeaving
)

// unit is one process of the system, run in this process. The platform
// replaces it when it ends.
type unit struct {
	node   core.NodeID
	role   string
	domain core.FailureDomain
	// addresses are those of the inner protocol, the administration and, for an
	// entry, the callers.
	addresses []string
	run       func(ctx context.Context, deps daemon.Deps) error
	dial      func(core.FailureDomain) daemon.Deps
	log       *logrus.Logger
	seed      uint64

	state       atomic.Int32
	incarnation atomic.Uint64
	stopping    atomic.Bool
	stop        atomic.Pointer[context.CancelFunc]
	kill        atomic.Pointer[context.CancelFunc]
}

// supervise runs the unit until the context ends, and again after each stop.
func (u *unit) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		if err := u.once(ctx); err != nil {
			u.log.WithFields(logrus.Fields{"event": "unit_failed", "node": u.node}).WithError(err).Error("process failed")
		}
		duty.Pause(ctx, restartPause)
	}
}

// once runs the unit for one incarnation.
func (u *unit) once(ctx context.Context) error {
	deps := u.dial(u.domain)
	deps.Log = u.log
	deps.Seed = u.seed
	deps.Incarnation = core.Incarnation(time.Now().UnixNano())
	for i, into := range []*net.Listener{&deps.InnerListener, &deps.AdminListener, &deps.CallerListener} {
		if i == len(u.addresses) {
			break
		}
		listener, err := net.Listen("tcp", u.addresses[i])
		if err != nil {
			return err
		}
		*into = listener
	}
	stopContext, stop := context.WithCancel(ctx)
	defer stop()
	life, kill := context.WithCancel(context.WithoutCancel(ctx))
	defer kill()
	deps.AbortContext = life
	u.stop.Store(&stop)
	u.kill.Store(&kill)
	u.stopping.Store(false)
	u.incarnation.Store(uint64(deps.Incarnation))
	u.state.Store(int32(unitLive))
	defer u.state.Store(int32(unitGone))
	return u.run(stopContext, deps)
}

// plannedStop asks the unit to finish its work and end.
func (u *unit) plannedStop() {
	u.stopping.Store(true)
	u.state.Store(int32(unitLeaving))
	(*u.stop.Load())()
}

// crash ends the unit at once.
func (u *unit) crash() { (*u.kill.Load())() }

// vm is the unit's entry in the platform's list, if it has one.
func (u *unit) vm() (stores.VM, bool) {
	state := unitState(u.state.Load())
	vm := stores.VM{
		Node: u.node, Role: u.role, FailureDomain: u.domain, State: stores.VMLive,
		Incarnation: core.Incarnation(u.incarnation.Load()), Address: u.addresses[0],
	}
	if state == unitLeaving {
		vm.State = stores.VMLeaving
	}
	return vm, state != unitGone
}

// startAll supervises units on goroutines of a group.
func startAll(ctx context.Context, group *conc.WaitGroup, units []*unit) {
	for _, u := range units {
		group.Go(func() { u.supervise(ctx) })
	}
}
