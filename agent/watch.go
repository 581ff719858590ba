package agent

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	watchMinInterval = 100 * time.Millisecond
	watchMaxInterval = time.Second
)

// Watch streams the upstream's state and the watcher's credits.
func (s *server) Watch(req *wire.WatchRequest, out wire.DRPCAgent_WatchStream) error {
	if req.GetUpstream() != string(s.opts.Upstream) {
		return errs.New(errs.NotFound, "dial the address in the bundle in force", "this agent serves %s, not %s", s.opts.Upstream, req.GetUpstream())
	}
	ctx := out.Context()
	watcher := core.NodeID(req.GetSender().GetNode())
	notify := ring.New[struct{}](1)
	events := s.admission.events
	if err := events.Send(ctx, watchEvent{watcher: watcher, notify: notify}); err != nil {
		return err
	}
	defer func() {
		_ = events.Send(context.Background(), watchEvent{watcher: watcher, notify: notify, leave: true})
	}()
	for {
		credit, err := s.grant(ctx, watcher)
		if err != nil {
			return err
		}
		if err := out.Send(s.upstreamState(credit)); err != nil {
			return err
		}
		if err := waitForChange(ctx, notify); err != nil {
			return err
		}
	}
}

// waitForChange returns after a notification, but not before the shortest
// interval has passed, and at the latest after the longest one.
func waitForChange(ctx context.Context, notify *ring.Ring[struct{}]) error {
	shortest := time.NewTimer(watchMinInterval)
	defer shortest.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-shortest.C:
	}
	longest, cancel := context.WithTimeout(ctx, watchMaxInterval-watchMinInterval)
	defer cancel()
	_, err := notify.Receive(longest)
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return nil
}

func (s *server) grant(ctx context.Context, watcher core.NodeID) (grant, error) {
	reply := ring.New[grant](1)
	if err := s.admission.events.Send(ctx, grantEvent{watcher, reply}); err != nil {
		return grant{}, err
	}
	return reply.Receive(ctx)
}

func (a *Agent) upstreamState(credit grant) *wire.UpstreamState {
	now := a.admission.state.Load()
	state := &wire.UpstreamState{
		Sender:           a.sender(),
		Upstream:         string(a.opts.Upstream),
		Credits:          uint32(credit.Count),
		UrgentCredits:    uint32(credit.UrgentOnly),
		CreditMs:         uint32(credit.ExpiresAt.Sub(a.opts.Now()).Milliseconds()),
		Window:           uint32(now.Window),
		Running:          uint32(now.Running),
		Queued:           uint32(now.Queued),
		QueueDelayMs:     uint32(now.UrgentDelay.Milliseconds()),
		Cold:             now.Cold,
		CacheEpoch:       now.info.CacheEpoch,
		PrefillBytesPerS: now.prefillRate,
		Draining:         now.Draining,
		Loaded:           now.info.Loaded,
		Cached:           credit.stored,
	}
	view := a.opts.Control.View()
	if upstream := a.upstream(view); upstream != nil {
		state.Version = string(view.ServedVersion(upstream))
	}
	if a.opts.Transfer != nil {
		state.LinkBytesPerS = uint64(a.opts.Transfer.FreeLinkRate())
	}
	return state
}
