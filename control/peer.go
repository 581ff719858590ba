package control

import (
	"context"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/membership"
	"waxwingtide.example/waxwingtide/wire"
)

// peerServer answers exchanges that other processes start. Its handlers own no
// state: they read the snapshot and reach the duties through rings.
type peerServer struct{ c *Control }

// PeerServer returns the service to register with wire.DRPCRegisterPeer.
func (c *Control) PeerServer() wire.DRPCPeerServer { return peerServer{c} }

// Exchange returns what the sender of the digest lacks.
func (s peerServer) Exchange(_ context.Context, in *wire.Digest) (*wire.Delta, error) {
	theirs := digestFrom(in)
	node := core.NodeID(in.GetSender().GetNode())
	domain := core.FailureDomain(in.GetFailureDomain())
	s.c.heard.Push(hearing{domain: domain, epoch: theirs.Epoch})
	s.c.evidence.Push(membership.Observation{
		Node: node, Incarnation: core.Incarnation(in.GetSender().GetIncarnation()),
		Address: in.GetAddress(), Domain: domain, Replied: true, Leaving: in.GetLeaving(),
	})
	now := s.c.snapshot.Load()
	delta := s.c.deltaMessage(now.Delta(theirs))
	if now.MayLackFacts(theirs) {
		delta.Wants = true
		delta.HaveBundle = rawDigest(now.Digest.BundleDigest)
		delta.HaveRestrictions = now.Digest.Restrictions
	}
	return delta, nil
}

// Deliver merges facts that Exchange asked for.
func (s peerServer) Deliver(ctx context.Context, in *wire.Delta) (*wire.Delta, error) {
	s.c.takeIn(ctx, in)
	return &wire.Delta{Sender: s.c.sender()}, nil
}
