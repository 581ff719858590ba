package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
)

// update asks the facts duty for a merge.
type update struct {
	facts facts.Update
	// raise is a restriction raised by this process. The duty stamps it with
	// the epoch in force.
	raise *facts.Restriction
	done  *ring.Ring[struct{}]
}

// runFacts owns the store and publishes its snapshots.
func (c *Control) runFacts(ctx context.Context) error {
	store := facts.NewStore()
	for {
		u, err := c.updates.Receive(ctx)
		if err != nil {
			return err
		}
		if u.raise != nil {
			u.raise.Stamp = c.Epoch()
			u.facts.Restrictions = append(u.facts.Restrictions, *u.raise)
		}
		before := c.Epoch()
		result := store.Merge(u.facts)
		if result.Changed || len(u.facts.PersistedRestrictions) > 0 {
			c.publish(store.Snapshot())
		}
		if after := c.Epoch(); after != before {
			c.log.WithFields(logrus.Fields{"event": "epoch_in_force", "epoch": after}).Info("new epoch in force")
		}
		if result.MissingBundle {
			c.log.WithFields(logrus.Fields{"event": "bundle_missing", "epoch": u.facts.Head.Epoch}).Warn("newer head came without its bundle, the next exchange brings both")
		}
		if u.done != nil {
			u.done.Push(struct{}{})
		}
	}
}

func (c *Control) publish(s *facts.Snapshot) {
	c.snapshot.Store(s)
	c.gossipWake.Push(struct{}{})
	if len(s.UnpersistedRestrictions) > 0 {
		c.auditWake.Push(struct{}{})
	}
	for _, r := range c.subscribers {
		r.Push(s.View)
	}
}

// merge sends facts to the facts duty and waits until they are in force.
func (c *Control) merge(ctx context.Context, u update) error {
	u.done = ring.New[struct{}](1)
	if err := c.updates.Send(ctx, u); err != nil {
		return err
	}
	_, err := await(ctx, c.ctx, u.done)
	return err
}

// Restrict puts a restriction in force in this process at once, without the
// table. It spreads from here to all processes and is written to the table when
// that is available. The stamp, the origin and an unset time are filled in. A
// permission that this process had not heard of may lift the restriction; raise
// it again if its cause still exists. Errors: Invalid for a bad subject,
// Unavailable when the process ends first.
func (c *Control) Restrict(ctx context.Context, r facts.Restriction) error {
	if r.Subject.Name == "" || r.Subject.Kind < facts.SubjectDomain || r.Subject.Kind > facts.SubjectVersion {
		return errs.New(errs.Invalid, "name a failure domain, an upstream or a version", "restriction has no valid subject")
	}
	r.Origin = c.opts.Node // the origin writes it to the table
	if r.RaisedMS == 0 {
		r.RaisedMS = time.Now().UnixMilli()
	}
	c.log.WithFields(logrus.Fields{"event": "restriction_raised", "kind": r.Subject.Kind, "subject": r.Subject.Name, "reason": r.Reason}).Warn("restriction raised")
	err := c.merge(ctx, update{raise: &r})
	return errs.Wrap(err, errs.Unavailable, "send it to another process", "restriction was not put in force")
}

// parseBundle checks a body against its digest and indexes it.
func (c *Control) parseBundle(digest string, body []byte) (*facts.Bundle, error) {
	if got := bundleDigest(body); got != digest {
		return nil, errs.New(errs.Corrupt, "fetch it again from another source", "bundle body has digest %s, not %s", got, digest)
	}
	index, err := c.opts.ParseBundle(body)
	if err != nil {
		return nil, err
	}
	return &facts.Bundle{Digest: digest, Body: body, Index: index}, nil
}

func bundleDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func bundleName(digest string) string { return "bundles/" + digest }

// bundleFor returns the bundle of a head from memory or the object store.
func (c *Control) bundleFor(ctx context.Context, digest string) (*facts.Bundle, error) {
	if b := c.snapshot.Load().Bundle; b != nil && b.Digest == digest {
		return b, nil
	}
	body, err := c.opts.Objects.Get(ctx, bundleName(digest))
	if err != nil {
		return nil, err
	}
	return c.parseBundle(digest, body)
}

// StoreBundle validates a bundle body, puts it into the object store and
// returns its digest, for use in a permission.
func (c *Control) StoreBundle(ctx context.Context, body []byte) (string, error) {
	if _, err := c.opts.ParseBundle(body); err != nil {
		return "", err
	}
	digest := bundleDigest(body)
	return digest, c.opts.Objects.Put(ctx, bundleName(digest), body)
}
