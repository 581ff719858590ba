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
	// exchangeTimeout is the maximum duration of one exchange, including the dial.
	exchangeTimeout = time.Second
	// maxCatchUpRounds limits the exchanges that are started for an epoch, since it is
	// possible that no peer has that epoch.
	maxCatchUpRounds = 8
	// storeRole is the role of the VMs on the member list that do not run a process of
	// this system.
	storeRole = "store"
)

// epochObservation is an epoch that other duties and handlers report to the gossip duty.
// Its flags distinguish three sources: the table, a request to start exchanges, and, if
// both flags are false, a peer that started an exchange with this process.
type epochObservation struct {
	// domain is the failure domain of the peer. It is empty for the other sources.
	domain core.FailureDomain
	// fromTable is true if the head row was read. epoch is then the epoch of that row or,
	// once the row has been merged, the epoch in force in this process.
	fromTable bool
	// startExchanges requests exchanges that fetch epoch if it is not in force. If this
	// process is leaving, it also requests exchanges that notify peers.
	startExchanges bool
	epoch          core.Epoch
}

// exchangeResult is the result of a requested exchange.
type exchangeResult struct {
	request gossip.ExchangeRequest
	// ok is true if the requested peer replied.
	ok bool
	// epoch is the epoch that the peer had in force when it replied.
	epoch core.Epoch
}

type gossipDuty struct {
	c         *Control
	state     *gossip.State
	readiness *gossip.Readiness
	// aloneInDomain is true if no other process, except failed ones, is in the local
	// failure domain.
	aloneInDomain bool
	// catchUpEpoch is the epoch that this process must reach. It is the highest epoch read
	// from the table or passed to ObserveEpoch.
	catchUpEpoch core.Epoch
	// catchUpRounds counts the rounds of exchanges started to reach catchUpEpoch.
	catchUpRounds int
	// nextCatchUpAt is the earliest time of the next such round.
	nextCatchUpAt time.Time
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
		case <-c.gossipSignal.Ready():
		case <-c.gossipMembers.Ready():
		case <-c.epochObservations.Ready():
		case <-c.exchangeResults.Ready():
		}
		timer.Reset(max(time.Until(g.step(time.Now())), minWait))
	}
}

// step processes the elements in the rings of the duty, requests the exchanges that are
// due and returns the time of the next step.
func (g *gossipDuty) step(now time.Time) time.Time {
	g.processInputs(now)
	localDigest := g.c.snapshot.Load().Digest
	g.c.ready.Store(g.readiness.Ready(localDigest.Epoch, g.aloneInDomain))
	g.state.PreferDomains(g.readiness.MissingDomains(g.aloneInDomain), now)
	next := g.catchUp(now, localDigest.Epoch)
	for _, request := range g.state.Step(now, localDigest) {
		g.c.slotRequests[request.Slot].Push(request)
	}
	if nextStepAt := g.state.NextStepAt(); next.IsZero() || nextStepAt.Before(next) {
		return nextStepAt
	}
	return next
}

// processInputs applies the received members, epochs and exchange results to the state.
func (g *gossipDuty) processInputs(now time.Time) {
	g.c.gossipSignal.TryReceive()
	if members, ok := g.c.gossipMembers.TryReceive(); ok {
		live, probeCandidates, alone := g.c.gossipPeers(members)
		g.aloneInDomain = alone
		g.state.SetPeers(live, probeCandidates)
	}
	for {
		observation, ok := g.c.epochObservations.TryReceive()
		if !ok {
			break
		}
		g.applyEpochObservation(observation)
	}
	for {
		result, ok := g.c.exchangeResults.TryReceive()
		if !ok {
			break
		}
		g.state.FinishExchange(now, result.request, result.ok)
		if result.ok {
			g.readiness.ObservePeerEpoch(result.request.Peer.Domain, result.epoch)
		}
	}
}

func (g *gossipDuty) applyEpochObservation(observation epochObservation) {
	switch {
	case observation.fromTable:
		g.readiness.ObserveTableEpoch(observation.epoch)
		g.raiseCatchUpEpoch(observation.epoch)
	case observation.startExchanges:
		g.raiseCatchUpEpoch(observation.epoch)
		if g.c.leaving.Load() {
			g.state.MarkAllDue()
		}
	default:
		g.readiness.ObservePeerEpoch(observation.domain, observation.epoch)
	}
}

// raiseCatchUpEpoch sets the catch-up epoch if the given one is higher, and restarts the
// count of the rounds.
func (g *gossipDuty) raiseCatchUpEpoch(epoch core.Epoch) {
	if epoch > g.catchUpEpoch {
		g.catchUpEpoch, g.catchUpRounds, g.nextCatchUpAt = epoch, 0, time.Time{}
	}
}

// catchUp starts exchanges with the peers of all slots at each retry interval while the
// catch-up epoch is not in force, for at most maxCatchUpRounds rounds. It returns
// the time of the next round, or the zero time if there is none.
func (g *gossipDuty) catchUp(now time.Time, localEpoch core.Epoch) time.Time {
	if g.catchUpEpoch <= localEpoch || g.catchUpRounds >= maxCatchUpRounds {
		return time.Time{}
	}
	if !now.Before(g.nextCatchUpAt) {
		g.state.MarkAllDue()
		g.catchUpRounds++
		g.nextCatchUpAt = now.Add(g.c.opts.Gossip.RetryInterval)
	}
	return g.nextCatchUpAt
}

// gossipPeers returns the live members, with which facts are exchanged, and the suspected
// and failed members, which are candidates for probes. It omits this process. alone is
// true if no other process, except failed ones, is in the local failure domain. It is
// false while the member list is empty.
func (c *Control) gossipPeers(members *membership.Members) (live, probeCandidates []gossip.Peer, alone bool) {
	alone = len(members.All) > 0
	for _, member := range members.All {
		if member.Node == c.opts.Node || member.Role == storeRole {
			continue
		}
		peer := gossip.Peer{Node: member.Node, Incarnation: member.Incarnation, Domain: member.Domain, Address: member.Address}
		if member.State != membership.Failed && member.Domain == c.opts.FailureDomain {
			alone = false
		}
		switch member.State {
		case membership.Live:
			live = append(live, peer)
		case membership.Suspect, membership.Failed:
			probeCandidates = append(probeCandidates, peer)
		}
	}
	return live, probeCandidates, alone
}

// runSlot owns the connection of one slot and runs the requested exchanges on it.
func (c *Control) runSlot(ctx context.Context, requests exchangeRequestReceiver) error {
	var s slotConn
	defer s.close()
	for {
		request, err := requests.Receive(ctx)
		if err != nil {
			return err
		}
		result := c.runExchange(ctx, &s, request)
		if err := c.exchangeResults.Send(ctx, result); err != nil {
			return err
		}
	}
}

// exchangeRequestReceiver is the receiving side of the ring of one slot.
type exchangeRequestReceiver interface {
	Receive(ctx context.Context) (gossip.ExchangeRequest, error)
}

// slotConn is the connection of a slot. It is reused as long as the peer is the same.
type slotConn struct {
	peer gossip.Peer
	conn drpc.Conn
}

func (s *slotConn) close() {
	if s.conn != nil {
		_ = s.conn.Close() // the peer detects the closed connection even if Close fails
		s.conn = nil
	}
}

// client returns a client for a peer. It opens a connection if there is no usable one
// to this peer.
func (s *slotConn) client(ctx context.Context, c *Control, peer gossip.Peer) (wire.DRPCPeerClient, error) {
	if s.conn != nil && (s.peer != peer || isClosed(s.conn)) {
		s.close()
	}
	if s.conn == nil {
		conn, err := c.opts.Dial(ctx, peer.Address)
		if err != nil {
			return nil, err
		}
		s.peer, s.conn = peer, conn
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

// runExchange runs one exchange with the requested peer and records whether the peer
// replied.
func (c *Control) runExchange(ctx context.Context, s *slotConn, request gossip.ExchangeRequest) exchangeResult {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	result := exchangeResult{request: request}
	sender, err := c.exchangeFacts(ctx, s, request.Peer)
	c.metrics.exchanges.Add(ctx, 1, resultAttribute(err))
	if err != nil {
		s.close()
		c.memberObservations.Push(membership.Observation{Node: request.Peer.Node, Incarnation: request.Peer.Incarnation})
		return result
	}
	result.ok = core.NodeID(sender.GetNode()) == request.Peer.Node
	result.epoch = core.Epoch(sender.GetEpoch())
	c.memberObservations.Push(membership.Observation{
		Node: core.NodeID(sender.GetNode()), Incarnation: core.Incarnation(sender.GetIncarnation()),
		Address: request.Peer.Address, Domain: request.Peer.Domain, Replied: true,
	})
	if !result.ok { // another process uses the address now
		c.memberObservations.Push(membership.Observation{Node: request.Peer.Node, Incarnation: request.Peer.Incarnation})
	}
	return result
}

// exchangeFacts sends the local digest to a peer, merges the facts in the reply and
// sends the facts that the peer requests. It returns the sender of the reply.
func (c *Control) exchangeFacts(ctx context.Context, s *slotConn, peer gossip.Peer) (*wire.Sender, error) {
	client, err := s.client(ctx, c, peer)
	if err != nil {
		return nil, err
	}
	localDigest := c.snapshot.Load().Digest
	delta, err := client.Exchange(ctx, c.storeDigestMessage(localDigest))
	if err != nil {
		return nil, err
	}
	c.mergeDelta(ctx, delta)
	if delta.GetWants() {
		requestedFacts := c.deltaMessage(c.snapshot.Load().Delta(storeDigestFromDelta(delta)))
		if _, err := client.Deliver(ctx, requestedFacts); err != nil {
			return nil, err
		}
	}
	return delta.GetSender(), nil
}

// mergeDelta merges the facts in a delta. Facts that cannot be read, for example a
// bundle for a later version of this program, do not fail the exchange, because they
// do not indicate that the peer has failed.
func (c *Control) mergeDelta(ctx context.Context, delta *wire.Delta) {
	if !hasFacts(delta) {
		return
	}
	update, err := c.updateFromDelta(delta)
	if err == nil {
		err = c.mergeFacts(ctx, mergeRequest{update: update})
	}
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "facts_refused", "peer": delta.GetSender().GetNode()}).WithError(err).Error("facts from a peer cannot be read or merged")
	}
}
