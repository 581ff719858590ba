package entry

import (
	"errors"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/dispatch"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/route"
)

// place asks dispatch for an upstream. While the canary has no free credit the
// stable version serves the call.
func (c *call) placeAttempt() (assignment, error) {
	view := c.opts.Control.View()
	canary := c.chooseVersion(view, true)
	a, err := c.requestPlacement(canary)
	if err == nil && a.noUpstream && c.canChangeVersion() {
		c.chooseVersion(view, false)
		a, err = c.requestPlacement(false)
	}
	if err == nil && a.noUpstream {
		return a, errs.New(errs.Unavailable, "retry later", "no upstream serves model %s now", c.Prompt.Model)
	}
	return a, err
}

// canChangeVersion reports whether no token was sent yet. An answer must come
// from one weight version.
func (c *call) canChangeVersion() bool { return c.response.Position() == 0 }

// chooseVersion sets the weight version and the block keys under it. It
// reports whether the call belongs to the canary share.
func (c *call) chooseVersion(view *facts.View, canary bool) bool {
	if !c.canChangeVersion() {
		return false
	}
	split := trafficSplit(view, c.Prompt.Model, canary)
	version := split.Version(c.id)
	if version != c.version {
		c.version = version
		c.blocks = core.BlockKeys(c.cacheScope().Salt(), c.Prompt.Text)
	}
	return version == split.Canary
}

// splitFor returns how a model's traffic is divided between weight versions.
// Without canary, and while the new version is withdrawn, one version gets all.
func trafficSplit(view *facts.View, model core.ModelID, canary bool) route.Split {
	m := view.Index.Models[model]
	if m == nil {
		return route.Split{}
	}
	split := route.Split{Stable: m.Stable}
	if m.Rollout == nil || !view.VersionAllowed(model, m.Rollout.To) {
		return split
	}
	state := view.Head.Rollouts[model]
	switch {
	case state.Stage == facts.StagePromoted:
		split.Stable = m.Rollout.To
	case state.Stage == facts.StageCanary && canary:
		split.Canary = m.Rollout.To
		split.Share = min(state.Share, m.Rollout.CanaryShare)
	}
	return split
}

func (c *call) cacheScope() core.CacheScope {
	return core.CacheScope{Workspace: c.identity.Workspace, Model: c.Prompt.Model, Adapter: c.adapter, Version: c.version}
}

func (c *call) requestPlacement(canary bool) (assignment, error) {
	a, err := ring.TryRequest(c.ctx, c.dispatcher.placements, func(reply *ring.Ring[assignment]) *placementRequest {
		p := &placementRequest{
			isCanary: canary,
			routeRequest: route.Request{
				Scope: c.cacheScope(), Class: c.class, Blocks: c.blocks, PromptBytes: len(c.Prompt.Text), TriedUpstreams: c.triedUpstreams,
			},
			reply: reply,
		}
		p.queuedCall = dispatch.Call[*placementRequest]{
			ID: c.id, Workspace: c.identity.Workspace, Weight: c.weight, MaxInFlight: c.maxInFlight, Class: c.class,
			Deadline: c.Deadline, Pool: dispatch.Pool{Model: c.Prompt.Model, Version: c.version}, Value: p,
		}
		return p
	})
	switch {
	case errors.Is(err, ring.ErrFull):
		return a, errs.New(errs.Exhausted, "retry later", "this entry has too many calls waiting")
	case err != nil:
		return a, refusalError(dispatch.ReasonDeadline)
	}
	return a, refusalError(a.refusalReason)
}

// refusalOf is the error of a call that dispatch refused.
func refusalError(reason dispatch.Reason) error {
	switch reason {
	case dispatch.ReasonNone:
		return nil
	case dispatch.ReasonWorkspaceLimit:
		return errs.New(errs.Exhausted, "retry later", "workspace has as many calls under way as its limit allows")
	case dispatch.ReasonDeadline:
		return errs.New(errs.Unavailable, "allow more time or retry later", "no upstream was free before the deadline")
	default:
		return errs.New(errs.Unavailable, "retry later", "too many calls wait for an upstream (%s)", reason)
	}
}
