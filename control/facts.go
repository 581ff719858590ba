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

// mergeRequest is a request to the facts duty to merge an update.
type mergeRequest struct {
	update facts.Update
	// localRestriction is a restriction raised by this process. The facts duty sets
	// its stamp to the epoch in force.
	localRestriction *facts.Restriction
	// done, if set, receives an element after the merge.
	done *ring.Ring[struct{}]
}

// runFacts owns the facts store and publishes its snapshots.
func (c *Control) runFacts(ctx context.Context) error {
	factsStore := facts.NewStore()
	for {
		request, err := c.mergeRequests.Receive(ctx)
		if err != nil {
			return err
		}
		if request.localRestriction != nil {
			request.localRestriction.Stamp = c.Epoch()
			request.update.Restrictions = append(request.update.Restrictions, *request.localRestriction)
		}
		oldEpoch := c.Epoch()
		result := factsStore.Merge(request.update)
		if result.Changed || len(request.update.PersistedRestrictions) > 0 {
			c.publishSnapshot(factsStore.Snapshot())
		}
		if newEpoch := c.Epoch(); newEpoch != oldEpoch {
			c.log.WithFields(logrus.Fields{"event": "epoch_in_force", "epoch": newEpoch}).Info("new epoch in force")
		}
		if result.MissingBundle {
			c.log.WithFields(logrus.Fields{"event": "bundle_missing", "epoch": request.update.Head.Epoch}).Warn("newer head was received without its bundle; waiting for an exchange that contains both")
		}
		if request.done != nil {
			request.done.Push(struct{}{})
		}
	}
}

func (c *Control) publishSnapshot(snapshot *facts.Snapshot) {
	c.snapshot.Store(snapshot)
	c.gossipSignal.Push(struct{}{})
	if len(snapshot.UnpersistedRestrictions) > 0 {
		c.auditSignal.Push(struct{}{})
	}
	for _, subscriber := range c.subscribers {
		subscriber.Push(snapshot.View)
	}
}

// mergeFacts sends a request to the facts duty and waits until it is merged.
func (c *Control) mergeFacts(ctx context.Context, request mergeRequest) error {
	request.done = ring.New[struct{}](1)
	if err := c.mergeRequests.Send(ctx, request); err != nil {
		return err
	}
	_, err := await(ctx, c.dutiesCtx, request.done)
	return err
}

// Restrict immediately puts a restriction in force in this process, without access to
// the table. The restriction propagates to all processes and is written to the table
// when the table is available. Restrict sets the origin and, if it is zero, the time. It
// sets the stamp to the epoch in force in this process. If the subject was cleared at a
// higher epoch that this process has not received yet, the restriction is lifted when
// the process receives that epoch. The caller must then raise the restriction again if
// its cause still exists. Errors: Invalid for an invalid subject, Unavailable if the
// context or the process ends first.
func (c *Control) Restrict(ctx context.Context, r facts.Restriction) error {
	if r.Subject.Name == "" || r.Subject.Kind < facts.SubjectDomain || r.Subject.Kind > facts.SubjectVersion {
		return errs.New(errs.Invalid, "specify a failure domain, an upstream or a version", "restriction has no valid subject")
	}
	r.Origin = c.opts.Node // the origin writes the restriction to the table
	if r.RaisedMS == 0 {
		r.RaisedMS = time.Now().UnixMilli()
	}
	c.log.WithFields(logrus.Fields{"event": "restriction_raised", "kind": r.Subject.Kind, "subject": r.Subject.Name, "reason": r.Reason}).Warn("raising restriction")
	err := c.mergeFacts(ctx, mergeRequest{localRestriction: &r})
	return errs.Wrap(err, errs.Unavailable, "send the restriction to another process", "restriction was not put in force")
}

// parseBundle verifies the digest of a bundle body and parses the body.
func (c *Control) parseBundle(digest string, body []byte) (*facts.Bundle, error) {
	if got := bundleDigest(body); got != digest {
		return nil, errs.New(errs.Corrupt, "fetch the bundle again from another source", "bundle body has digest %s, not %s", got, digest)
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

func bundleObjectName(digest string) string { return "bundles/" + digest }

// loadBundle returns the bundle with a digest. It reads the bundle from the object
// store if it is not the one in force.
func (c *Control) loadBundle(ctx context.Context, digest string) (*facts.Bundle, error) {
	if b := c.snapshot.Load().Bundle; b != nil && b.Digest == digest {
		return b, nil
	}
	body, err := c.opts.Objects.Get(ctx, bundleObjectName(digest))
	if err != nil {
		return nil, err
	}
	return c.parseBundle(digest, body)
}

// StoreBundle validates a bundle body, writes it to the object store and returns its
// digest. A change of the head through Permit then sets this digest to activate the
// bundle.
func (c *Control) StoreBundle(ctx context.Context, body []byte) (string, error) {
	if _, err := c.opts.ParseBundle(body); err != nil {
		return "", err
	}
	digest := bundleDigest(body)
	return digest, c.opts.Objects.Put(ctx, bundleObjectName(digest), body)
}
