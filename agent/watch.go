package agent

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

// Minimum and maximum interval between two messages on a watch stream.
const (
	watchMinInterval = 100 * time.Millisecond
	watchMaxInterval = time.Second
)

// Watch streams the state of the upstream and new credits to an entry. It ends after a state
// that was sent in a planned stop.
func (s *server) Watch(req *wire.WatchRequest, out wire.DRPCAgent_WatchStream) error {
	if req.GetUpstream() != string(s.opts.Upstream) {
		return errs.New(errs.NotFound, "dial the address in the bundle in force", "this agent serves %s, not %s", s.opts.Upstream, req.GetUpstream())
	}
	ctx := out.Context()
	watcher := core.NodeID(req.GetSender().GetNode())
	notifications := ring.New[struct{}](1)
	events := s.admission.events
	if err := events.Send(ctx, watchEvent{watcher: watcher, notifications: notifications}); err != nil {
		return err
	}
	defer func() {
		_ = events.Send(context.Background(), watchEvent{watcher: watcher, notifications: notifications, streamEnded: true})
	}()
	for {
		stopping := s.admission.latestSnapshot.Load().stopping
		grant, err := s.requestGrant(ctx, watcher)
		if err != nil {
			return err
		}
		if err := out.Send(s.upstreamState(grant)); err != nil {
			return err
		}
		if stopping {
			return nil
		}
		if err := waitForChange(ctx, notifications); err != nil {
			return err
		}
	}
}

// waitForChange returns after a notification, but at the earliest after watchMinInterval
// and at the latest after watchMaxInterval.
func waitForChange(ctx context.Context, notifications *ring.Ring[struct{}]) error {
	minTimer := time.NewTimer(watchMinInterval)
	defer minTimer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-minTimer.C:
	}
	maxCtx, cancel := context.WithTimeout(ctx, watchMaxInterval-watchMinInterval)
	defer cancel()
	_, err := notifications.Receive(maxCtx)
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return nil
}

func (s *server) requestGrant(ctx context.Context, watcher core.NodeID) (watcherGrant, error) {
	reply := ring.New[watcherGrant](1)
	if err := s.admission.events.Send(ctx, grantRequest{watcher, reply}); err != nil {
		return watcherGrant{}, err
	}
	return reply.Receive(ctx)
}

func (a *Agent) upstreamState(grant watcherGrant) *wire.UpstreamState {
	snap := a.admission.latestSnapshot.Load()
	state := &wire.UpstreamState{
		Sender:           a.sender(),
		Upstream:         string(a.opts.Upstream),
		Credits:          uint32(grant.Count),
		UrgentCredits:    uint32(grant.UrgentOnly),
		CreditMs:         uint32(grant.ExpiresAt.Sub(a.opts.Now()).Milliseconds()),
		Window:           uint32(snap.Window),
		Running:          uint32(snap.Running),
		Queued:           uint32(snap.Queued),
		QueueDelayMs:     uint32(snap.UrgentDelay.Milliseconds()),
		Cold:             snap.Cold,
		CacheEpoch:       snap.engineInfo.CacheEpoch,
		PrefillBytesPerS: snap.prefillRate,
		Draining:         snap.Draining,
		Loaded:           snap.engineInfo.Loaded,
		Cached:           grant.storedKeys,
	}
	view := a.opts.Control.View()
	if upstream := a.bundleUpstream(view); upstream != nil {
		state.Version = string(view.ServedVersion(upstream))
	}
	if a.opts.Transfer != nil {
		state.LinkBytesPerS = uint64(a.opts.Transfer.FreeLinkRate())
	}
	return state
}
