package entry

import (
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/dispatch"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/route"
)

// place asks dispatch for an upstream. While the canary has no free credit the
// stable version serves the call.
func (c *call) place() (assignment, *refusal) {
	view := c.opts.Control.View()
	canary := c.chooseVersion(view, true)
	a, refused := c.ask(canary)
	if refused == nil && a.unserved && c.canChangeVersion() {
		c.chooseVersion(view, false)
		a, refused = c.ask(false)
	}
	if refused == nil && a.unserved {
		return a, c.refuse(errs.Unavailable, "no upstream serves model "+string(c.model)+" now; retry later")
	}
	return a, refused
}

// canChangeVersion reports whether no token was sent yet. An answer must come
// from one weight version.
func (c *call) canChangeVersion() bool { return c.answer.Position() == 0 }

// chooseVersion sets the weight version and the block keys under it. It
// reports whether the call belongs to the canary share.
func (c *call) chooseVersion(view *facts.View, canary bool) bool {
	if !c.canChangeVersion() {
		return false
	}
	split := splitFor(view, c.model, canary)
	version := split.Version(c.id)
	if version != c.version {
		c.version = version
		c.blocks = core.BlockKeys(c.scope().Salt(), c.text)
	}
	return version == split.Canary
}

// splitFor returns how a model's traffic is divided between weight versions.
// Without canary, and while the new version is withdrawn, one version gets all.
func splitFor(view *facts.View, model core.ModelID, canary bool) route.Split {
	m := view.Index.Models[model]
	if m == nil {
		return route.Split{}
	}
	split := route.Split{Stable: m.Stable}
	if m.Rollout == nil || !view.VersionOpen(model, m.Rollout.To) {
		return split
	}
	stage := view.Head.Rollouts[model]
	switch {
	case stage.Stage == facts.StagePromoted:
		split.Stable = m.Rollout.To
	case stage.Stage == facts.StageCanary && canary:
		split.Canary = m.Rollout.To
		split.Share = min(stage.Share, m.Rollout.CanaryShare)
	}
	return split
}

func (c *call) scope() core.Scope {
	return core.Scope{Workspace: c.identity.Workspace, Model: c.model, Adapter: c.adapter, Version: c.version}
}

func (c *call) ask(canary bool) (assignment, *refusal) {
	p := &placement{
		canary: canary,
		route: route.Request{
			Scope: c.scope(), Class: c.class, Blocks: c.blocks, PromptBytes: len(c.text), Tried: c.tried,
		},
		reply: ring.New[assignment](1),
	}
	p.call = dispatch.Call[*placement]{
		ID: c.id, Workspace: c.identity.Workspace, Weight: c.weight, MaxInFlight: c.limit, Class: c.class,
		Deadline: c.deadline, Pool: dispatch.Pool{Model: c.model, Version: c.version}, Value: p,
	}
	if !c.dispatch.placements.Offer(p) {
		return assignment{}, c.refuse(errs.Exhausted, "this entry has too many calls waiting; retry later")
	}
	a, err := p.reply.Receive(c.ctx)
	if err != nil {
		return assignment{}, c.refuse(errs.Unavailable, "no upstream was free before the deadline; allow more time or retry later")
	}
	return a, c.refusePlacement(a.refused)
}

func (c *call) refusePlacement(reason dispatch.Reason) *refusal {
	switch reason {
	case dispatch.ReasonNone:
		return nil
	case dispatch.ReasonWorkspaceLimit:
		return c.refuse(errs.Exhausted, "workspace has as many calls under way as its limit allows; retry later")
	case dispatch.ReasonDeadline:
		return c.refuse(errs.Unavailable, "no upstream was free before the deadline; allow more time or retry later")
	default:
		return c.refuse(errs.Unavailable, "too many calls wait for an upstream ("+reason.String()+"); retry later")
	}
}
