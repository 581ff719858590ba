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

// Minimum and maximum mean delay before a watch stream is reopened.
const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
)

// watchTarget is the upstream of a watch duty and the address of its agent.
type watchTarget struct {
	upstream core.UpstreamID
	address  string
}

// watchManager is the duty that starts and stops one watch duty for each watched engine.
type watchManager struct {
	opts         Options
	group        *duty.Group
	stateUpdates *ring.Ring[stateUpdate]
	views        *ring.Ring[*facts.View]
	cancels      map[watchTarget]context.CancelFunc
}

func newWatchManager(o Options, stateUpdates *ring.Ring[stateUpdate]) *watchManager {
	return &watchManager{
		opts: o, stateUpdates: stateUpdates, views: o.Control.Subscribe(), cancels: make(map[watchTarget]context.CancelFunc),
	}
}

func (w *watchManager) run(ctx context.Context) error {
	w.applyView(w.opts.Control.View())
	for {
		view, err := w.views.Receive(ctx)
		if err != nil {
			return err
		}
		w.applyView(view)
	}
}

// applyView starts and stops watch duties according to the bundle in force.
func (w *watchManager) applyView(view *facts.View) {
	if !view.HasBundle() {
		return
	}
	targets := make(map[watchTarget]bool)
	for _, engines := range view.Index.Engines {
		for _, u := range w.selectEngines(engines) {
			targets[watchTarget{u.ID, u.Agent}] = true
		}
	}
	for target, cancel := range w.cancels {
		if !targets[target] {
			cancel()
			delete(w.cancels, target)
		}
	}
	for target := range targets {
		if w.cancels[target] == nil {
			w.startWatch(target)
		}
	}
}

// selectEngines returns the engines of one model that this entry watches. If there are more
// than MaxWatched, it selects those with the lowest hashes of the entry's node ID and the
// engine's ID, so that the entries watch different engines and each engine is watched.
func (w *watchManager) selectEngines(engines []*bundle.Upstream) []*bundle.Upstream {
	limit := w.opts.Routing.MaxWatched
	if len(engines) <= limit {
		return engines
	}
	rank := func(u *bundle.Upstream) uint64 {
		return xxhash.Sum64String(string(w.opts.Node) + "/" + string(u.ID))
	}
	sorted := slices.SortedFunc(slices.Values(engines), func(a, b *bundle.Upstream) int {
		return cmp.Compare(rank(a), rank(b))
	})
	return sorted[:limit]
}

func (w *watchManager) startWatch(target watchTarget) {
	ctx, cancel := context.WithCancel(w.group.Context())
	w.cancels[target] = cancel
	watch := &watch{opts: w.opts, target: target, stateUpdates: w.stateUpdates}
	w.group.Go("watch "+string(target.upstream), func(context.Context) error { return watch.run(ctx) })
}

// watch is the duty that keeps a watch stream to one agent open.
type watch struct {
	opts         Options
	target       watchTarget
	stateUpdates *ring.Ring[stateUpdate]
	// failing is set if a watch stream has failed and no state was received since.
	failing bool
}

func (w *watch) run(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minReconnectDelay, maxReconnectDelay
	for {
		gotState, err := w.receiveStates(ctx)
		if ctx.Err() != nil {
			return nil
		}
		w.markUnavailable(err)
		if gotState {
			delays.Reset()
		}
		timer := time.NewTimer(delays.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// receiveStates forwards the received states until the stream ends. It reports whether it has
// received at least one state.
func (w *watch) receiveStates(ctx context.Context) (gotState bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := wire.NewDRPCAgentClient(w.opts.Dial(ctx, w.target.address))
	stream, err := client.Watch(ctx, &wire.WatchRequest{
		Sender:   w.opts.sender(w.opts.Control.View()),
		Upstream: string(w.target.upstream),
	})
	if err != nil {
		return false, err
	}
	defer w.closeStream(stream)
	for {
		state, err := stream.Recv()
		if err != nil {
			return gotState, err
		}
		if !gotState && w.failing {
			w.failing = false
			w.opts.Log.WithFields(logrus.Fields{"event": "watch", "upstream": w.target.upstream}).Info("agent responds again")
		}
		gotState = true
		w.opts.Control.ObserveEpoch(core.Epoch(state.GetSender().GetEpoch()))
		w.stateUpdates.Push(stateUpdate{upstream: w.target.upstream, state: state})
		if w.opts.StateListener != nil {
			w.opts.StateListener.Report(state)
		}
	}
}

// closeStream ends a watch stream. It also closes the idle connections to the agent, since an
// agent that is stopping ends the stream and waits until no connection is open.
func (w *watch) closeStream(stream wire.DRPCAgent_WatchClient) {
	_ = stream.Close() // the stream is abandoned even if closing it fails
	<-stream.Context().Done()
	w.opts.CloseIdle(w.target.address)
}

// markUnavailable reports to the dispatch duty and the listener that the watch stream of the
// upstream has failed.
func (w *watch) markUnavailable(err error) {
	w.stateUpdates.Push(stateUpdate{upstream: w.target.upstream, unavailable: true})
	if w.opts.StateListener != nil {
		w.opts.StateListener.Remove(w.target.upstream)
	}
	if w.failing {
		return
	}
	w.failing = true
	w.opts.Log.WithFields(logrus.Fields{"event": "watch", "upstream": w.target.upstream}).WithError(err).Warn("watch stream failed; agent gets no calls until it responds")
}
