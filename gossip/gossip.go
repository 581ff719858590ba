// Package gossip decides which peers a process exchanges digests with and
// when, and whether it knows enough facts to accept work.
//
// A process keeps a few connections, called slots. The first slot goes to its
// successor in the order of hashed node ids, so that every process is some
// other's peer and a push reaches all of them. The others go to peers drawn at
// random, one of which is replaced from time to time, so that paths are short
// and failed nodes do not split the graph. Keeping connections avoids a TLS
// handshake for each exchange. One slot in turn exchanges digests at each
// interval, and a change of facts is exchanged at once on every slot.
//
// After a missed reply the next exchange follows sooner than the interval, as
// Pallickara, Ekanayake and Fox describe for pings in "A Scalable Approach for
// the Secure and Authorized Tracking of the Availability of Entities in
// Distributed Systems". Their interest-gated updates are not used; the figures
// for both are in docs/decisions/0005-spread-of-facts.md.
package gossip

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
)

// Peer is a process that digests can be exchanged with.
type Peer struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	Domain      core.FailureDomain
	Address     string
}

// Config sets the pace of exchanges.
type Config struct {
	// Slots is the number of peers that connections are kept to.
	Slots int
	// Interval is the time between two idle exchanges.
	Interval time.Duration
	// RotationInterval is the time after which one slot gets another peer.
	RotationInterval time.Duration
	// RetryInterval is the time to the next exchange after a missed reply, and between
	// exchanges of a process that is not ready.
	RetryInterval time.Duration
	// MaxMissedReplies is the number of missed replies after which a slot gets another
	// peer.
	MaxMissedReplies int
}

// DefaultConfig returns the values that docs/decisions/0005-spread-of-facts.md
// gives the measurements for.
func DefaultConfig() Config {
	return Config{
		Slots:            5,
		Interval:         time.Second,
		RotationInterval: 30 * time.Second,
		RetryInterval:    250 * time.Millisecond,
		MaxMissedReplies: 2,
	}
}

// ExchangeRequest asks for an exchange with a peer over a slot's connection.
type ExchangeRequest struct {
	Slot int
	Peer Peer
}

type slot struct {
	peer     Peer
	assigned bool
	busy     bool
	probe    bool
	// due asks for an exchange as soon as the slot is free.
	due     bool
	retryAt time.Time
	misses  int
}

// State holds the slots of one process. It is owned by one duty.
type State struct {
	cfg      Config
	self     core.NodeID
	rng      *rand.Rand
	live     []Peer
	probes   []Peer
	wanted   map[core.FailureDomain]bool
	slots    []slot
	turn     int
	mine     facts.Digest
	tickAt   time.Time
	rotateAt time.Time
}

// New returns a state without peers. The first idle exchange is due at a
// random part of the interval, so that processes started together spread out.
func New(cfg Config, self core.NodeID, rng *rand.Rand, now time.Time) *State {
	return &State{
		cfg:      cfg,
		self:     self,
		rng:      rng,
		slots:    make([]slot, cfg.Slots+1), // the last one is for probes
		tickAt:   now.Add(fraction(rng, cfg.Interval)),
		rotateAt: now.Add(fraction(rng, cfg.RotationInterval)),
	}
}

func fraction(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d) + 1))
}

// SetPeers replaces the candidates. Live peers fill the slots. Probes are
// members thought to have failed; one of them is tried at each round over the
// slots, on a slot of its own, so that the two sides of a healed partition
// find each other.
func (s *State) SetPeers(live, probes []Peer) {
	s.live, s.probes = live, probes
	current := make(map[core.NodeID]Peer, len(live))
	for _, p := range live {
		current[p.Node] = p
	}
	for i := range s.slots {
		if p := &s.slots[i]; p.assigned && !p.probe && current[p.peer.Node] != p.peer {
			s.release(i)
		}
	}
	if next, ok := s.successor(); ok && s.slots[0].peer != next {
		s.release(0)
	}
}

// successor returns the live peer that follows this process in the order of
// hashed node ids, a ring through all failure domains.
func (s *State) successor() (Peer, bool) {
	origin := xxhash.Sum64String(string(s.self))
	var next Peer
	least := uint64(math.MaxUint64)
	for _, p := range s.live {
		if distance := xxhash.Sum64String(string(p.Node)) - origin; p.Node != s.self && distance < least {
			next, least = p, distance
		}
	}
	return next, least != math.MaxUint64
}

// PreferDomains asks for exchanges with peers of these failure domains first, at the
// retry interval. An empty list restores the idle pace.
func (s *State) PreferDomains(domains []core.FailureDomain, now time.Time) {
	s.wanted = make(map[core.FailureDomain]bool, len(domains))
	for _, d := range domains {
		s.wanted[d] = true
	}
	if soon := now.Add(s.cfg.RetryInterval); len(domains) > 0 && s.tickAt.After(soon) {
		s.tickAt = soon
	}
}

// MarkAllDue makes an exchange due on every slot, for facts heard of elsewhere that
// this process lacks.
func (s *State) MarkAllDue() {
	for i := range s.slots {
		s.slots[i].due = true
	}
}

// FinishExchange notes the end of an ordered exchange; ok is false when the reply was
// missed.
func (s *State) FinishExchange(now time.Time, o ExchangeRequest, ok bool) {
	p := &s.slots[o.Slot]
	p.busy = false
	if !p.assigned || p.peer != o.Peer {
		return
	}
	if ok {
		p.misses = 0
		p.retryAt = time.Time{}
		if p.probe {
			s.release(o.Slot)
		}
		return
	}
	p.misses++
	p.retryAt = now.Add(s.cfg.RetryInterval)
	if p.probe || p.misses >= s.cfg.MaxMissedReplies {
		s.release(o.Slot)
	}
}

func (s *State) release(i int) { s.slots[i] = slot{busy: s.slots[i].busy} }

// Step returns the exchanges that are due, given this process's own digest.
// Each ordered slot is busy until FinishExchange.
func (s *State) Step(now time.Time, mine facts.Digest) []ExchangeRequest {
	changed := mine != s.mine
	s.mine = mine
	s.rotate(now)
	s.fill()
	s.tick(now)
	var orders []ExchangeRequest
	for i := range s.slots {
		p := &s.slots[i]
		p.due = p.due || changed
		retry := !p.retryAt.IsZero() && !now.Before(p.retryAt)
		if !p.assigned || p.busy || (!p.due && !retry) {
			continue
		}
		p.busy, p.due, p.retryAt = true, false, time.Time{}
		orders = append(orders, ExchangeRequest{Slot: i, Peer: p.peer})
	}
	return orders
}

// rotate releases one idle slot at each rotation.
func (s *State) rotate(now time.Time) {
	if now.Before(s.rotateAt) {
		return
	}
	s.rotateAt = now.Add(s.cfg.RotationInterval)
	i := s.rng.IntN(s.cfg.Slots)
	if i > 0 && !s.slots[i].busy && len(s.live) > s.cfg.Slots {
		s.release(i)
	}
}

// fill assigns free slots to live peers that have no slot, the first one to the
// successor.
func (s *State) fill() {
	if !s.slots[0].assigned && !s.slots[0].busy {
		if next, ok := s.successor(); ok {
			s.releaseNode(next.Node)
			s.assign(0, next, false)
		}
	}
	for i := range s.cfg.Slots {
		if s.slots[i].assigned || s.slots[i].busy {
			continue
		}
		if p, ok := s.draw(s.live, anyPeer); ok {
			s.assign(i, p, false)
		}
	}
}

func (s *State) releaseNode(node core.NodeID) {
	for i := range s.slots {
		if s.slots[i].assigned && s.slots[i].peer.Node == node {
			s.release(i)
		}
	}
}

func (s *State) assign(i int, p Peer, probe bool) {
	s.slots[i] = slot{peer: p, assigned: true, probe: probe, due: true}
}

func anyPeer(Peer) bool { return true }

// draw picks a random peer without a slot that meets the condition.
func (s *State) draw(from []Peer, accept func(Peer) bool) (Peer, bool) {
	if len(from) == 0 {
		return Peer{}, false
	}
	start := s.rng.IntN(len(from))
	for i := range from {
		p := from[(start+i)%len(from)]
		if accept(p) && !s.hasSlot(p.Node) {
			return p, true
		}
	}
	return Peer{}, false
}

func (s *State) hasSlot(node core.NodeID) bool {
	for i := range s.slots {
		if s.slots[i].assigned && s.slots[i].peer.Node == node {
			return true
		}
	}
	return false
}

// tick makes the slot in turn due at each interval. While domains are wanted,
// the slot in turn gets a peer of such a domain first.
func (s *State) tick(now time.Time) {
	if now.Before(s.tickAt) {
		return
	}
	pace := s.cfg.Interval
	if len(s.wanted) > 0 {
		pace = s.cfg.RetryInterval
	}
	s.tickAt = now.Add(pace)
	s.advance()
	p := &s.slots[s.turn]
	if p.busy {
		return
	}
	inWanted := func(p Peer) bool { return s.wanted[p.Domain] }
	if other, ok := s.draw(s.live, inWanted); ok && s.turn > 0 && !inWanted(p.peer) {
		s.assign(s.turn, other, false)
	}
	p.due = true
}

// advance gives the turn to the next slot with a peer. Each round over the
// slots includes one probe.
func (s *State) advance() {
	for range s.cfg.Slots {
		s.turn = (s.turn + 1) % s.cfg.Slots
		if s.turn == 0 {
			s.startProbe()
		}
		if s.slots[s.turn].assigned {
			return
		}
	}
}

func (s *State) startProbe() {
	if s.slots[s.cfg.Slots].busy {
		return
	}
	if p, ok := s.draw(s.probes, anyPeer); ok {
		s.assign(s.cfg.Slots, p, true)
	}
}

// NextStepAt returns when Step has to be called again if nothing happens before.
func (s *State) NextStepAt() time.Time {
	next := s.tickAt
	for i := range s.slots {
		if at := s.slots[i].retryAt; !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}
