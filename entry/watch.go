package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	reconnectMin = 50 * time.Millisecond
	reconnectMax = 2 * time.Second
)

// watchTarget is what a watch duty needs to know of its upstream.
type watchTarget struct {
	id      core.UpstreamID
	address string
}

// watches is the duty that keeps one watch duty for each watched engine.
type watches struct {
	opts    Options
	group   *duty.Group
	states  *ring.Ring[stateUpdate]
	changes *ring.Ring[*facts.View]
	running map[watchTarget]context.CancelFunc
}

func newWatches(o Options, states *ring.Ring[stateUpdate]) *watches {
	return &watches{
		opts: o, states: states, changes: o.Control.Subscribe(), running: make(map[watchTarget]context.CancelFunc),
	}
}

func (w *watches) run(ctx context.Context) error {
	w.follow(w.opts.Control.View())
	for {
		view, err := w.changes.Receive(ctx)
		if err != nil {
			return err
		}
		w.follow(view)
	}
}

// follow starts and ends watch duties so that they match the bundle in force.
func (w *watches) follow(view *facts.View) {
	if !view.HasBundle() {
		return
	}
	wanted := make(map[watchTarget]bool)
	for _, engines := range view.Index.Engines {
		for _, u := range w.choose(engines) {
			wanted[watchTarget{u.ID, u.Agent}] = true
		}
	}
	for target, cancel := range w.running {
		if !wanted[target] {
			cancel()
			delete(w.running, target)
		}
	}
	for target := range wanted {
		if w.running[target] == nil {
			w.start(target)
		}
	}
}

// choose returns the engines of one model that this entry keeps in touch with.
// Entries choose different ones, so that all engines are covered.
func (w *watches) choose(engines []*bundle.Upstream) []*bundle.Upstream {
	limit := w.opts.Routing.MaxWatched
	if len(engines) <= limit {
		return engines
	}
	rank := func(u *bundle.Upstream) uint64 {
		return xxhash.Sum64String(string(w.opts.Node) + "/" + string(u.ID))
	}
	chosen := slices.SortedFunc(slices.Values(engines), func(a, b *bundle.Upstream) int {
		return cmp.Compare(rank(a), rank(b))
	})
	return chosen[:limit]
}

func (w *watches) start(target watchTarget) {
	ctx, cancel := context.WithCancel(w.group.Context())
	w.running[target] = cancel
	watch := &watch{opts: w.opts, target: target, states: w.states}
	w.group.Go("watch "+string(target.id), func(context.Context) error { return watch.run(ctx) })
}

// watch is the duty that holds one Watch stream to an agent.
type watch struct {
	opts    Options
	target  watchTarget
	states  *ring.Ring[stateUpdate]
	failing bool
}

func (w *watch) run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = reconnectMin, reconnectMax
	for {
		received, err := w.receive(ctx)
		if ctx.Err() != nil {
			return nil
		}
		w.lost(err)
		if received {
			pause.Reset()
		}
		timer := time.NewTimer(pause.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// receive passes states on until the stream ends.
func (w *watch) receive(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := wire.NewDRPCAgentClient(w.opts.Dial(ctx, w.target.address))
	stream, err := client.Watch(ctx, &wire.WatchRequest{
		Sender:   w.opts.sender(w.opts.Control.View()),
		Upstream: string(w.target.id),
	})
	if err != nil {
		return false, err
	}
	defer func() { _ = stream.Close() }()
	for {
		state, err := stream.Recv()
		if err != nil {
			return received, err
		}
		if !received && w.failing {
			w.failing = false
			w.opts.Log.WithFields(logrus.Fields{"event": "watch", "upstream": w.target.id}).Info("agent answers again")
		}
		received = true
		w.opts.Control.ObserveEpoch(core.Epoch(state.GetSender().GetEpoch()))
		w.states.Push(stateUpdate{id: w.target.id, state: state})
		if w.opts.StateListener != nil {
			w.opts.StateListener.Report(state)
		}
	}
}

// lost tells dispatch that nothing more is known of the upstream.
func (w *watch) lost(err error) {
	w.states.Push(stateUpdate{id: w.target.id, lost: true})
	if w.opts.StateListener != nil {
		w.opts.StateListener.Lost(w.target.id)
	}
	if w.failing {
		return
	}
	w.failing = true
	w.opts.Log.WithFields(logrus.Fields{"event": "watch", "upstream": w.target.id}).WithError(err).Warn("agent does not answer")
}
