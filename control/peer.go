package control

import (
	"context"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/membership"
	"waxwingtide.example/waxwingtide/wire"
)

// peerServer handles exchanges that other processes start. Its handlers own no state.
// They read the current snapshot and send requests to the duties through rings.
type peerServer struct{ c *Control }

// PeerServer returns the service to register with wire.DRPCRegisterPeer.
func (c *Control) PeerServer() wire.DRPCPeerServer { return peerServer{c} }

// Exchange returns the facts that the sender of the digest lacks. If this process may
// lack facts of the sender, the returned delta requests them.
func (s peerServer) Exchange(_ context.Context, digest *wire.Digest) (*wire.Delta, error) {
	senderDigest := storeDigestFromMessage(digest)
	node := core.NodeID(digest.GetSender().GetNode())
	domain := core.FailureDomain(digest.GetFailureDomain())
	s.c.epochObservations.Push(epochObservation{domain: domain, epoch: senderDigest.Epoch})
	s.c.memberObservations.Push(membership.Observation{
		Node: node, Incarnation: core.Incarnation(digest.GetSender().GetIncarnation()),
		Address: digest.GetAddress(), Domain: domain, Replied: true, Leaving: digest.GetLeaving(),
	})
	snapshot := s.c.snapshot.Load()
	delta := s.c.deltaMessage(snapshot.Delta(senderDigest))
	if snapshot.MayLackFacts(senderDigest) {
		delta.Wants = true
		delta.HaveBundle = bundleDigestBytes(snapshot.Digest.BundleDigest)
		delta.HaveRestrictions = snapshot.Digest.Restrictions
	}
	return delta, nil
}

// Deliver merges the facts that Exchange requested.
func (s peerServer) Deliver(ctx context.Context, delta *wire.Delta) (*wire.Delta, error) {
	s.c.mergeDelta(ctx, delta)
	return &wire.Delta{Sender: s.c.senderMessage()}, nil
}
