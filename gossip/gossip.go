// Package gossip decides when a process exchanges digests and with which peers,
// and whether the process has received enough facts to accept work.
//
// A process has a fixed number of slots. Each slot has a peer and keeps a
// connection to it, because a new connection for each exchange would cost a TLS
// handshake. The peer of the first slot is the successor of the process in the
// circular sequence of hashed node ids, so that every process is the peer of
// another one and a change of facts reaches all processes. The other slots have
// random peers, so that a change reaches all processes over few exchanges and also
// if some processes have failed. At most one of these peers is replaced at each
// rotation interval. At each interval the process exchanges digests with the peer
// of the next slot, in round-robin sequence. After a change of facts, it
// immediately exchanges digests with the peers of all slots.
//
// After a missed reply, the exchange is retried sooner than the interval, as
// Pallickara, Ekanayake and Fox describe for pings in "A Scalable Approach for
// the Secure and Authorized Tracking of the Availability of Entities in
// Distributed Systems". The paper also describes updates that are sent only to
// interested receivers, which this package does not use. Measurements of the early
// retry and of such updates are in docs/decisions/0005-spread-of-facts.md.
package gossip

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
)

// Peer is a process to exchange digests with.
type Peer struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	Domain      core.FailureDomain
	Address     string
}

// Config contains the number of connections and the intervals of exchanges.
type Config struct {
	// Slots is the number of peers to which the process keeps a connection.
	Slots int
	// Interval is the time between two exchanges while no facts change.
	Interval time.Duration
	// RotationInterval is the interval between two attempts to replace the peer of a
	// random slot.
	RotationInterval time.Duration
	// RetryInterval is the time until the next exchange after a missed reply, and the
	// time between two exchanges while domains are preferred (PreferDomains).
	RetryInterval time.Duration
	// MaxMissedReplies is the number of consecutive missed replies after which a
	// slot gets another peer.
	MaxMissedReplies int
}

// DefaultConfig returns the default configuration. The measurements behind the
// values are in docs/decisions/0005-spread-of-facts.md.
func DefaultConfig() Config {
	return Config{
		Slots:            5,
		Interval:         time.Second,
		RotationInterval: 30 * time.Second,
		RetryInterval:    250 * time.Millisecond,
		MaxMissedReplies: 2,
	}
}

// ExchangeRequest is a request for an exchange with a peer over the connection of
// a slot.
type ExchangeRequest struct {
	Slot int
	Peer Peer
}

type slot struct {
	peer Peer
	// assigned is true while the slot has a peer.
	assigned bool
	// busy is true while an exchange is in progress on the slot.
	busy bool
	// isProbe is true for the slot whose peer is a probe candidate.
	isProbe bool
	// due is true if an exchange must start as soon as the slot is not busy.
	due     bool
	retryAt time.Time
	// missedReplies counts the missed replies since the last reply.
	missedReplies int
}

// State contains the slots of one process. One duty owns it.
type State struct {
	cfg              Config
	self             core.NodeID
	rng              *rand.Rand
	livePeers        []Peer
	probeCandidates  []Peer
	preferredDomains map[core.FailureDomain]bool
	slots            []slot
	// currentSlot is the index of the slot on which the last periodic exchange was
	// scheduled.
	currentSlot    int
	localDigest    facts.StoreDigest
	nextExchangeAt time.Time
	rotateAt       time.Time
}

// New returns a state without peers. The first exchange is due after a random
// fraction of the interval, so that processes started at the same time do not
// exchange at the same time.
func New(cfg Config, self core.NodeID, rng *rand.Rand, now time.Time) *State {
	return &State{
		cfg:            cfg,
		self:           self,
		rng:            rng,
		slots:          make([]slot, cfg.Slots+1), // the last slot is for probes
		nextExchangeAt: now.Add(randomDelay(rng, cfg.Interval)),
		rotateAt:       now.Add(randomDelay(rng, cfg.RotationInterval)),
	}
}

// randomDelay returns a random duration from 0 to limit.
func randomDelay(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit) + 1))
}

// SetPeers replaces the candidate peers. Live peers are assigned to slots.
// Probe candidates are members that are suspected or recorded as failed. Each
// round over the slots includes an exchange with one of them, on a separate slot,
// so that the two sides of a healed network partition reconnect.
func (s *State) SetPeers(live, probeCandidates []Peer) {
	s.livePeers, s.probeCandidates = live, probeCandidates
	liveByNode := make(map[core.NodeID]Peer, len(live))
	for _, p := range live {
		liveByNode[p.Node] = p
	}
	for i := range s.slots {
		if sl := &s.slots[i]; sl.assigned && !sl.isProbe && liveByNode[sl.peer.Node] != sl.peer {
			s.release(i)
		}
	}
	if next, ok := s.successor(); ok && s.slots[0].peer != next {
		s.release(0)
	}
}

// successor returns the live peer that is next after this process in the circular
// sequence of hashed node ids, which spans all failure domains.
func (s *State) successor() (Peer, bool) {
	origin := xxhash.Sum64String(string(s.self))
	var next Peer
	minDistance := uint64(math.MaxUint64)
	for _, p := range s.livePeers {
		if distance := xxhash.Sum64String(string(p.Node)) - origin; p.Node != s.self && distance < minDistance {
			next, minDistance = p, distance
		}
	}
	return next, minDistance != math.MaxUint64
}

// PreferDomains makes peers in these failure domains preferred for exchanges, and
// shortens the interval between exchanges to the retry interval. An empty list
// restores the normal interval.
func (s *State) PreferDomains(domains []core.FailureDomain, now time.Time) {
	s.preferredDomains = make(map[core.FailureDomain]bool, len(domains))
	for _, d := range domains {
		s.preferredDomains[d] = true
	}
	if retryAt := now.Add(s.cfg.RetryInterval); len(domains) > 0 && s.nextExchangeAt.After(retryAt) {
		s.nextExchangeAt = retryAt
	}
}

// MarkAllDue makes an exchange due on every slot. The caller uses it when this
// process lacks facts that a peer may have.
func (s *State) MarkAllDue() {
	for i := range s.slots {
		s.slots[i].due = true
	}
}

// FinishExchange records the end of a requested exchange. ok is false if no reply
// was received.
func (s *State) FinishExchange(now time.Time, r ExchangeRequest, ok bool) {
	sl := &s.slots[r.Slot]
	sl.busy = false
	if !sl.assigned || sl.peer != r.Peer {
		return
	}
	if ok {
		sl.missedReplies = 0
		sl.retryAt = time.Time{}
		if sl.isProbe {
			s.release(r.Slot)
		}
		return
	}
	sl.missedReplies++
	sl.retryAt = now.Add(s.cfg.RetryInterval)
	if sl.isProbe || sl.missedReplies >= s.cfg.MaxMissedReplies {
		s.release(r.Slot)
	}
}

// release removes the peer from a slot. A busy slot remains busy until its exchange
// is finished.
func (s *State) release(i int) { s.slots[i] = slot{busy: s.slots[i].busy} }

// Step returns the exchanges that are due, given the digest of this process. The
// slot of each returned request is busy until FinishExchange is called.
func (s *State) Step(now time.Time, digest facts.StoreDigest) []ExchangeRequest {
	changed := digest != s.localDigest
	s.localDigest = digest
	s.rotate(now)
	s.fillSlots()
	s.scheduleExchange(now)
	var requests []ExchangeRequest
	for i := range s.slots {
		sl := &s.slots[i]
		sl.due = sl.due || changed
		retry := !sl.retryAt.IsZero() && !now.Before(sl.retryAt)
		if !sl.assigned || sl.busy || (!sl.due && !retry) {
			continue
		}
		sl.busy, sl.due, sl.retryAt = true, false, time.Time{}
		requests = append(requests, ExchangeRequest{Slot: i, Peer: sl.peer})
	}
	return requests
}

// rotate releases one random slot at each rotation interval, so that another peer
// is assigned to it. It does nothing if the slot is busy, if the slot is the first
// one, or if every live peer can have a slot.
func (s *State) rotate(now time.Time) {
	if now.Before(s.rotateAt) {
		return
	}
	s.rotateAt = now.Add(s.cfg.RotationInterval)
	i := s.rng.IntN(s.cfg.Slots)
	if i > 0 && !s.slots[i].busy && len(s.livePeers) > s.cfg.Slots {
		s.release(i)
	}
}

// fillSlots assigns live peers without a slot to the free slots. It assigns the
// successor to the first slot.
func (s *State) fillSlots() {
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
		if p, ok := s.pickPeer(s.livePeers, acceptAll); ok {
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

func (s *State) assign(i int, p Peer, isProbe bool) {
	s.slots[i] = slot{peer: p, assigned: true, isProbe: isProbe, due: true}
}

func acceptAll(Peer) bool { return true }

// pickPeer returns a random candidate that has no slot and that accept allows.
func (s *State) pickPeer(candidates []Peer, accept func(Peer) bool) (Peer, bool) {
	if len(candidates) == 0 {
		return Peer{}, false
	}
	start := s.rng.IntN(len(candidates))
	for i := range candidates {
		p := candidates[(start+i)%len(candidates)]
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

// scheduleExchange makes an exchange due on the next slot at each interval. While
// domains are preferred, it first assigns a peer in one of them to that slot, unless
// the slot is the first one or already has such a peer.
func (s *State) scheduleExchange(now time.Time) {
	if now.Before(s.nextExchangeAt) {
		return
	}
	interval := s.cfg.Interval
	if len(s.preferredDomains) > 0 {
		interval = s.cfg.RetryInterval
	}
	s.nextExchangeAt = now.Add(interval)
	s.selectNextSlot()
	sl := &s.slots[s.currentSlot]
	if sl.busy {
		return
	}
	isPreferred := func(p Peer) bool { return s.preferredDomains[p.Domain] }
	if preferred, ok := s.pickPeer(s.livePeers, isPreferred); ok && s.currentSlot > 0 && !isPreferred(sl.peer) {
		s.assign(s.currentSlot, preferred, false)
	}
	sl.due = true
}

// selectNextSlot sets currentSlot to the next slot with a peer. At the start of each
// round over the slots, it starts a probe.
func (s *State) selectNextSlot() {
	for range s.cfg.Slots {
		s.currentSlot = (s.currentSlot + 1) % s.cfg.Slots
		if s.currentSlot == 0 {
			s.startProbe()
		}
		if s.slots[s.currentSlot].assigned {
			return
		}
	}
}

// startProbe assigns a random probe candidate to the last slot, which makes an
// exchange due.
func (s *State) startProbe() {
	if s.slots[s.cfg.Slots].busy {
		return
	}
	if p, ok := s.pickPeer(s.probeCandidates, acceptAll); ok {
		s.assign(s.cfg.Slots, p, true)
	}
}

// NextStepAt returns the time at which Step must be called again if no event
// requires an earlier call.
func (s *State) NextStepAt() time.Time {
	next := s.nextExchangeAt
	for i := range s.slots {
		if retryAt := s.slots[i].retryAt; !retryAt.IsZero() && retryAt.Before(next) {
			next = retryAt
		}
	}
	return next
}
