package control

import (
	"encoding/hex"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/wire"
)

func (c *Control) sender() *wire.Sender {
	return &wire.Sender{
		Node:        string(c.opts.Node),
		Incarnation: uint64(c.opts.Incarnation),
		Epoch:       uint64(c.Epoch()),
	}
}

func (c *Control) digestMessage(d facts.StoreDigest) *wire.Digest {
	return &wire.Digest{
		Sender:        &wire.Sender{Node: string(c.opts.Node), Incarnation: uint64(c.opts.Incarnation), Epoch: uint64(d.Epoch)},
		FailureDomain: string(c.opts.FailureDomain),
		Address:       c.opts.Address,
		BundleDigest:  rawDigest(d.BundleDigest),
		Restrictions:  d.Restrictions,
		Leaving:       c.leaving.Load(),
	}
}

func digestFrom(in *wire.Digest) facts.StoreDigest {
	return facts.StoreDigest{
		Epoch:        core.Epoch(in.GetSender().GetEpoch()),
		BundleDigest: hex.EncodeToString(in.GetBundleDigest()),
		Restrictions: in.GetRestrictions(),
	}
}

// theirDigest returns the digest of the sender of a delta that wants facts.
func theirDigest(in *wire.Delta) facts.StoreDigest {
	return facts.StoreDigest{
		Epoch:        core.Epoch(in.GetSender().GetEpoch()),
		BundleDigest: hex.EncodeToString(in.GetHaveBundle()),
		Restrictions: in.GetHaveRestrictions(),
	}
}

// rawDigest returns the bytes of a digest in hexadecimal, nil for a bad one.
func rawDigest(digest string) []byte {
	raw, err := hex.DecodeString(digest)
	if err != nil {
		return nil
	}
	return raw
}

func carriesFacts(in *wire.Delta) bool { return in.GetHead() != nil || len(in.GetRestrictions()) > 0 }

func (c *Control) deltaMessage(u facts.Update) *wire.Delta {
	out := &wire.Delta{Sender: c.sender()}
	if u.Head != nil {
		out.Head = headMessage(u.Head)
	}
	if u.Bundle != nil {
		out.Bundle = u.Bundle.Body
	}
	if u.Patch != nil {
		out.Patch = &wire.BundlePatch{Base: rawDigest(u.Patch.Base)}
		for _, op := range u.Patch.Ops {
			out.Patch.Ops = append(out.Patch.Ops, &wire.PatchOp{From: uint32(op.BaseOffset), Len: uint32(op.Len), Insert: op.Insert})
		}
	}
	for _, r := range u.Restrictions {
		out.Restrictions = append(out.Restrictions, &wire.Restriction{
			Subject: subjectMessage(r.Subject), Stamp: uint64(r.Stamp),
			Origin: string(r.Origin), Reason: r.Reason, RaisedMs: r.RaisedMS,
		})
	}
	return out
}

// updateFrom checks a message and converts it. The bundle is parsed only when
// its head is newer than the one in force.
func (c *Control) updateFrom(in *wire.Delta) (facts.Update, error) {
	var u facts.Update
	if in.GetHead() != nil {
		h := headFrom(in.GetHead())
		u.Head = &h
	}
	if body := c.bodyFrom(in); u.Head != nil && len(body) > 0 && u.Head.Epoch > c.Epoch() {
		b, err := c.parseBundle(u.Head.BundleDigest, body)
		if err != nil {
			return u, err
		}
		u.Bundle = b
	}
	for _, r := range in.GetRestrictions() {
		if r.GetSubject().GetName() == "" {
			return u, errs.New(errs.Corrupt, "check the version of the peer", "restriction without subject from node %s", in.GetSender().GetNode())
		}
		u.Restrictions = append(u.Restrictions, facts.Restriction{
			Subject: subjectFrom(r.GetSubject()), Stamp: core.Epoch(r.GetStamp()),
			Origin: core.NodeID(r.GetOrigin()), Reason: r.GetReason(), RaisedMS: r.GetRaisedMs(),
		})
	}
	return u, nil
}

// bodyFrom returns the bundle body of a message, or nil when it carries none or
// a patch to another bundle than the one in force.
func (c *Control) bodyFrom(in *wire.Delta) []byte {
	base := c.snapshot.Load().Bundle
	if in.GetPatch() == nil || base == nil || base.Digest != hex.EncodeToString(in.GetPatch().GetBase()) {
		return in.GetBundle()
	}
	p := &facts.Patch{Base: base.Digest}
	for _, op := range in.GetPatch().GetOps() {
		p.Ops = append(p.Ops, facts.PatchOp{BaseOffset: int(op.GetFrom()), Len: int(op.GetLen()), Insert: op.GetInsert()})
	}
	body, _ := p.Apply(base.Body)
	return body
}

func subjectMessage(s facts.Subject) *wire.Subject {
	return &wire.Subject{Kind: uint32(s.Kind), Name: s.Name}
}

func subjectFrom(in *wire.Subject) facts.Subject {
	return facts.Subject{Kind: facts.SubjectKind(in.GetKind()), Name: in.GetName()}
}

func headMessage(h *facts.Head) *wire.Head {
	out := &wire.Head{Epoch: uint64(h.Epoch), BundleDigest: rawDigest(h.BundleDigest), BundleEpoch: uint64(h.BundleEpoch)}
	for m, s := range h.Rollouts {
		stage := &wire.ModelStage{Model: string(m), Stage: uint32(s.Stage), Share: s.Share}
		for _, u := range s.Upstreams {
			stage.Upstreams = append(stage.Upstreams, string(u))
		}
		out.Rollouts = append(out.Rollouts, stage)
	}
	for s, e := range h.ClearedAt {
		out.Cleared = append(out.Cleared, &wire.Cleared{Subject: subjectMessage(s), Epoch: uint64(e)})
	}
	return out
}

func headFrom(in *wire.Head) facts.Head {
	h := facts.Head{
		Epoch:        core.Epoch(in.GetEpoch()),
		BundleDigest: hex.EncodeToString(in.GetBundleDigest()),
		BundleEpoch:  core.Epoch(in.GetBundleEpoch()),
		Rollouts:     make(map[core.ModelID]facts.RolloutState, len(in.GetRollouts())),
		ClearedAt:    make(map[facts.Subject]core.Epoch, len(in.GetCleared())),
	}
	for _, s := range in.GetRollouts() {
		stage := facts.RolloutState{Stage: facts.Stage(s.GetStage()), Share: s.GetShare()}
		for _, u := range s.GetUpstreams() {
			stage.Upstreams = append(stage.Upstreams, core.UpstreamID(u))
		}
		h.Rollouts[core.ModelID(s.GetModel())] = stage
	}
	for _, s := range in.GetCleared() {
		h.ClearedAt[subjectFrom(s.GetSubject())] = core.Epoch(s.GetEpoch())
	}
	return h
}
