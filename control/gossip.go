package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/gossip"
	"waxwingtide.example/waxwingtide/membership"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// exchangeTimeout bounds one exchange, dialling included.
	exchangeTimeout = time.Second
	// maxWakes bounds the exchanges for an epoch that no peer has.
	maxWakes = 8
	// storeRole is the role of VMs on the list that run no process of ours.
	storeRole = "store"
)

// hearing is what was heard of facts outside of this process's own exchanges.
type hearing struct {
	domain core.FailureDomain
	// table is set when epoch was read from the table.
	table bool
	// behind is set when an exchange is needed for epoch.
	behind bool
	epoch  core.Epoch
}

// exchanged is the result of an order to a slot.
type exchanged struct {
	order gossip.ExchangeRequest
	ok    bool
	// epoch is the peer's epoch before the exchange.
	epoch core.Epoch
}

// gossipDuty is the state of the gossip duty.
type gossipDuty struct {
	c         *Control
	state     *gossip.State
	readiness *gossip.Readiness
	alone     bool
	noted     core.Epoch
	wakes     int
	wakeAt    time.Time
}

func (c *Control) runGossip(ctx context.Context) error {
	g := &gossipDuty{
		c:         c,
		state:     gossip.New(c.opts.Gossip, c.opts.Node, c.rng(gossipStream), time.Now()),
		readiness: gossip.NewReadiness(c.opts.FailureDomain, c.opts.FailureDomains),
	}
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-c.gossipWake.Ready():
		case <-c.gossipPeers.Ready():
		case <-c.heard.Ready():
		case <-c.exchanges.Ready():
		}
		timer.Reset(max(time.Until(g.turn(time.Now())), minWait))
	}
}

// turn takes in everything that was heard, gives out the exchanges that are due
// and returns the time of the next turn.
func (g *gossipDuty) turn(now time.Time) time.Time {
	g.drain(now)
	mine := g.c.snapshot.Load().Digest
	g.c.ready.Store(g.readiness.Ready(mine.Epoch, g.alone))
	g.state.PreferDomains(g.readiness.MissingDomains(g.alone), now)
	next := g.wakeIfBehind(now, mine.Epoch)
	for _, o := range g.state.Step(now, mine) {
		g.c.slots[o.Slot].Push(o)
	}
	if at := g.state.NextStepAt(); next.IsZero() || at.Before(next) {
		return at
	}
	return next
}

func (g *gossipDuty) drain(now time.Time) {
	g.c.gossipWake.TryReceive()
	if m, ok := g.c.gossipPeers.TryReceive(); ok {
		live, probes, alone := g.c.peersOf(m)
		g.alone = alone
		g.state.SetPeers(live, probes)
	}
	for {
		h, ok := g.c.heard.TryReceive()
		if !ok {
			break
		}
		g.hear(h)
	}
	for {
		e, ok := g.c.exchanges.TryReceive()
		if !ok {
			break
		}
		g.state.FinishExchange(now, e.order, e.ok)
		if e.ok {
			g.readiness.ObservePeerEpoch(e.order.Peer.Domain, e.epoch)
		}
	}
}

func (g *gossipDuty) hear(h hearing) {
	switch {
	case h.table:
		g.readiness.ObserveTableEpoch(h.epoch)
		g.note(h.epoch)
	case h.behind:
		g.note(h.epoch)
		if g.c.leaving.Load() {
			g.state.MarkAllDue()
		}
	default:
		g.readiness.ObservePeerEpoch(h.domain, h.epoch)
	}
}

func (g *gossipDuty) note(e core.Epoch) {
	if e > g.noted {
		g.noted, g.wakes, g.wakeAt = e, 0, time.Time{}
	}
}

// wakeIfBehind starts exchanges while a noted epoch is not in force, and
// returns the time of the next attempt.
func (g *gossipDuty) wakeIfBehind(now time.Time, mine core.Epoch) time.Time {
	if g.noted <= mine || g.wakes >= maxWakes {
		return time.Time{}
	}
	if !now.Before(g.wakeAt) {
		g.state.MarkAllDue()
		g.wakes++
		g.wakeAt = now.Add(g.c.opts.Gossip.RetryInterval)
	}
	return g.wakeAt
}

// peersOf splits the members into peers to exchange with and peers to probe,
// and reports whether no other process is in this failure domain.
func (c *Control) peersOf(m *membership.Members) (live, probes []gossip.Peer, alone bool) {
	alone = len(m.All) > 0
	for _, member := range m.All {
		if member.Node == c.opts.Node || member.Role == storeRole {
			continue
		}
		p := gossip.Peer{Node: member.Node, Incarnation: member.Incarnation, Domain: member.Domain, Address: member.Address}
		if member.State != membership.Failed && member.Domain == c.opts.FailureDomain {
			alone = false
		}
		switch member.State {
		case membership.Live:
			live = append(live, p)
		case membership.Suspect, membership.Failed:
			probes = append(probes, p)
		}
	}
	return live, probes, alone
}

// runSlot owns one connection to a peer and carries out exchanges on it.
func (c *Control) runSlot(ctx context.Context, orders ordersRing) error {
	var s slotConn
	defer s.close()
	for {
		o, err := orders.Receive(ctx)
		if err != nil {
			return err
		}
		e := c.exchange(ctx, &s, o)
		if err := c.exchanges.Send(ctx, e); err != nil {
			return err
		}
	}
}

type ordersRing interface {
	Receive(ctx context.Context) (gossip.ExchangeRequest, error)
}

// slotConn is a connection that is kept while the peer stays the same.
type slotConn struct {
	peer gossip.Peer
	conn drpc.Conn
}

func (s *slotConn) close() {
	if s.conn != nil {
		_ = s.conn.Close() // the peer sees the end either way
		s.conn = nil
	}
}

func (s *slotConn) to(ctx context.Context, c *Control, p gossip.Peer) (wire.DRPCPeerClient, error) {
	if s.conn != nil && (s.peer != p || isClosed(s.conn)) {
		s.close()
	}
	if s.conn == nil {
		conn, err := c.opts.Dial(ctx, p.Address)
		if err != nil {
			return nil, err
		}
		s.peer, s.conn = p, conn
	}
	return wire.NewDRPCPeerClient(s.conn), nil
}

func isClosed(conn drpc.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// exchange compares digests with a peer and moves facts in both directions.
func (c *Control) exchange(ctx context.Context, s *slotConn, o gossip.ExchangeRequest) exchanged {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	e := exchanged{order: o}
	sender, err := c.exchangeWith(ctx, s, o.Peer)
	c.metrics.exchanges.Add(ctx, 1, result(err))
	if err != nil {
		s.close()
		c.evidence.Push(membership.Observation{Node: o.Peer.Node, Incarnation: o.Peer.Incarnation})
		return e
	}
	e.ok = core.NodeID(sender.GetNode()) == o.Peer.Node
	e.epoch = core.Epoch(sender.GetEpoch())
	c.evidence.Push(membership.Observation{
		Node: core.NodeID(sender.GetNode()), Incarnation: core.Incarnation(sender.GetIncarnation()),
		Address: o.Peer.Address, Domain: o.Peer.Domain, Replied: true,
	})
	if !e.ok { // another process has taken over the address
		c.evidence.Push(membership.Observation{Node: o.Peer.Node, Incarnation: o.Peer.Incarnation})
	}
	return e
}

func (c *Control) exchangeWith(ctx context.Context, s *slotConn, p gossip.Peer) (*wire.Sender, error) {
	client, err := s.to(ctx, c, p)
	if err != nil {
		return nil, err
	}
	mine := c.snapshot.Load().Digest
	delta, err := client.Exchange(ctx, c.digestMessage(mine))
	if err != nil {
		return nil, err
	}
	c.takeIn(ctx, delta)
	if delta.GetWants() {
		reply := c.deltaMessage(c.snapshot.Load().Delta(theirDigest(delta)))
		if _, err := client.Deliver(ctx, reply); err != nil {
			return nil, err
		}
	}
	return delta.GetSender(), nil
}

// takeIn merges the facts of a message. Facts that cannot be read, for example
// a bundle for a later version of this program, say nothing about whether the
// peer is alive, so they do not fail the exchange.
func (c *Control) takeIn(ctx context.Context, delta *wire.Delta) {
	if !carriesFacts(delta) {
		return
	}
	u, err := c.updateFrom(delta)
	if err == nil {
		err = c.merge(ctx, update{facts: u})
	}
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "facts_refused", "peer": delta.GetSender().GetNode()}).WithError(err).Error("facts from a peer cannot be used")
	}
}
