package control

import (
	"encoding/hex"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/wire"
)

func (c *Control) senderMessage() *wire.Sender {
	return &wire.Sender{
		Node:        string(c.opts.Node),
		Incarnation: uint64(c.opts.Incarnation),
		Epoch:       uint64(c.Epoch()),
	}
}

func (c *Control) storeDigestMessage(storeDigest facts.StoreDigest) *wire.Digest {
	return &wire.Digest{
		Sender:        &wire.Sender{Node: string(c.opts.Node), Incarnation: uint64(c.opts.Incarnation), Epoch: uint64(storeDigest.Epoch)},
		FailureDomain: string(c.opts.FailureDomain),
		Address:       c.opts.Address,
		BundleDigest:  bundleDigestBytes(storeDigest.BundleDigest),
		Restrictions:  storeDigest.Restrictions,
		Leaving:       c.leaving.Load(),
	}
}

// storeDigestFromMessage returns the store digest of the process that started an exchange.
func storeDigestFromMessage(message *wire.Digest) facts.StoreDigest {
	return facts.StoreDigest{
		Epoch:        core.Epoch(message.GetSender().GetEpoch()),
		BundleDigest: hex.EncodeToString(message.GetBundleDigest()),
		Restrictions: message.GetRestrictions(),
	}
}

// storeDigestFromDelta returns the store digest of the process that sent a delta with
// Wants set. Such a delta contains the fields of the digest.
func storeDigestFromDelta(delta *wire.Delta) facts.StoreDigest {
	return facts.StoreDigest{
		Epoch:        core.Epoch(delta.GetSender().GetEpoch()),
		BundleDigest: hex.EncodeToString(delta.GetHaveBundle()),
		Restrictions: delta.GetHaveRestrictions(),
	}
}

// bundleDigestBytes decodes a bundle digest, which is a SHA-256 in hexadecimal. It returns
// nil if the digest is invalid.
func bundleDigestBytes(hexDigest string) []byte {
	raw, err := hex.DecodeString(hexDigest)
	if err != nil {
		return nil
	}
	return raw
}

// hasFacts reports whether a delta contains facts. A bundle or a patch alone does not
// count, because it is only used together with its head.
func hasFacts(d *wire.Delta) bool { return d.GetHead() != nil || len(d.GetRestrictions()) > 0 }

func (c *Control) deltaMessage(update facts.Update) *wire.Delta {
	delta := &wire.Delta{Sender: c.senderMessage()}
	if update.Head != nil {
		delta.Head = headMessage(update.Head)
	}
	if update.Bundle != nil {
		delta.Bundle = update.Bundle.Body
	}
	if update.Patch != nil {
		delta.Patch = &wire.BundlePatch{Base: bundleDigestBytes(update.Patch.Base)}
		for _, op := range update.Patch.Ops {
			delta.Patch.Ops = append(delta.Patch.Ops, &wire.PatchOp{From: uint32(op.BaseOffset), Len: uint32(op.Len), Insert: op.Insert})
		}
	}
	for _, r := range update.Restrictions {
		delta.Restrictions = append(delta.Restrictions, &wire.Restriction{
			Subject: subjectMessage(r.Subject), Stamp: uint64(r.Stamp),
			Origin: string(r.Origin), Reason: r.Reason, RaisedMs: r.RaisedMS,
		})
	}
	return delta
}

// updateFromDelta validates a delta and converts it. The bundle is parsed only if its
// head is newer than the one in force.
func (c *Control) updateFromDelta(delta *wire.Delta) (facts.Update, error) {
	var update facts.Update
	if delta.GetHead() != nil {
		head := headFromMessage(delta.GetHead())
		update.Head = &head
	}
	if body := c.bundleBodyFromDelta(delta); update.Head != nil && len(body) > 0 && update.Head.Epoch > c.Epoch() {
		bundle, err := c.parseBundle(update.Head.BundleDigest, body)
		if err != nil {
			return update, err
		}
		update.Bundle = bundle
	}
	for _, r := range delta.GetRestrictions() {
		if r.GetSubject().GetName() == "" {
			return update, errs.New(errs.Corrupt, "check the program version of the peer", "restriction from node %s has no subject", delta.GetSender().GetNode())
		}
		update.Restrictions = append(update.Restrictions, facts.Restriction{
			Subject: subjectFromMessage(r.GetSubject()), Stamp: core.Epoch(r.GetStamp()),
			Origin: core.NodeID(r.GetOrigin()), Reason: r.GetReason(), RaisedMS: r.GetRaisedMs(),
		})
	}
	return update, nil
}

// bundleBodyFromDelta returns the bundle body of a delta. If the delta contains a
// patch for the bundle in force, it returns the patched body. It returns nil if the
// delta contains neither a bundle nor a patch that can be applied.
func (c *Control) bundleBodyFromDelta(delta *wire.Delta) []byte {
	base := c.snapshot.Load().Bundle
	if delta.GetPatch() == nil || base == nil || base.Digest != hex.EncodeToString(delta.GetPatch().GetBase()) {
		return delta.GetBundle()
	}
	patch := &facts.Patch{Base: base.Digest}
	for _, op := range delta.GetPatch().GetOps() {
		patch.Ops = append(patch.Ops, facts.PatchOp{BaseOffset: int(op.GetFrom()), Len: int(op.GetLen()), Insert: op.GetInsert()})
	}
	body, _ := patch.Apply(base.Body)
	return body
}

func subjectMessage(subject facts.Subject) *wire.Subject {
	return &wire.Subject{Kind: uint32(subject.Kind), Name: subject.Name}
}

func subjectFromMessage(message *wire.Subject) facts.Subject {
	return facts.Subject{Kind: facts.SubjectKind(message.GetKind()), Name: message.GetName()}
}

func headMessage(head *facts.Head) *wire.Head {
	message := &wire.Head{Epoch: uint64(head.Epoch), BundleDigest: bundleDigestBytes(head.BundleDigest), BundleEpoch: uint64(head.BundleEpoch)}
	for model, rollout := range head.Rollouts {
		modelStage := &wire.ModelStage{Model: string(model), Stage: uint32(rollout.Stage), Share: rollout.Share}
		for _, u := range rollout.Upstreams {
			modelStage.Upstreams = append(modelStage.Upstreams, string(u))
		}
		message.Rollouts = append(message.Rollouts, modelStage)
	}
	for subject, epoch := range head.ClearedAt {
		message.Cleared = append(message.Cleared, &wire.Cleared{Subject: subjectMessage(subject), Epoch: uint64(epoch)})
	}
	return message
}

func headFromMessage(message *wire.Head) facts.Head {
	head := facts.Head{
		Epoch:        core.Epoch(message.GetEpoch()),
		BundleDigest: hex.EncodeToString(message.GetBundleDigest()),
		BundleEpoch:  core.Epoch(message.GetBundleEpoch()),
		Rollouts:     make(map[core.ModelID]facts.RolloutState, len(message.GetRollouts())),
		ClearedAt:    make(map[facts.Subject]core.Epoch, len(message.GetCleared())),
	}
	for _, modelStage := range message.GetRollouts() {
		rollout := facts.RolloutState{Stage: facts.Stage(modelStage.GetStage()), Share: modelStage.GetShare()}
		for _, u := range modelStage.GetUpstreams() {
			rollout.Upstreams = append(rollout.Upstreams, core.UpstreamID(u))
		}
		head.Rollouts[core.ModelID(modelStage.GetModel())] = rollout
	}
	for _, cleared := range message.GetCleared() {
		head.ClearedAt[subjectFromMessage(cleared.GetSubject())] = core.Epoch(cleared.GetEpoch())
	}
	return head
}
