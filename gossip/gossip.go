// Package gossip decides when a process exchanges digests and with which peers,
// and whether the process has received enough facts to accept work.
//
// A process keeps a fixed number of connections, called slots, because a new
// connection for each exchange would cost a TLS handshake. The first slot is
// assigned to the successor of the process in the ring of hashed node ids, so
// that every process is a peer of another one and a push reaches all processes.
// The other slots are assigned to random peers, and one of these is replaced at
// each rotation interval, so that paths are short and failed nodes do not split
// the graph. At each interval one slot exchanges digests, in round-robin
// sequence. A change of facts is exchanged immediately on every slot.
//
// After a missed reply, the exchange is retried sooner than the interval, as
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
	// RotationInterval is the time after which one slot is assigned another peer.
	RotationInterval time.Duration
	// RetryInterval is the time until the next exchange after a missed reply, and
	// between the exchanges of a process that is not ready.
	RetryInterval time.Duration
	// MaxMissedReplies is the number of consecutive missed replies after which a
	// slot is assigned another peer.
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
	peer     Peer
	assigned bool
	busy     bool
	probe    bool
	// due requests an exchange as soon as the slot is not busy.
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
	live             []Peer
	probeCandidates  []Peer
	preferredDomains map[core.FailureDomain]bool
	slots            []slot
	// current is the index of the slot that made the last idle exchange.
	current        int
	localDigest    facts.Digest
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

// SetPeers replaces the candidate peers. Live peers are assigned to the slots.
// Probe candidates are members that are suspected or recorded as failed. Each
// round over the slots includes an exchange with one of them, on a separate slot,
// so that the two sides of a healed network partition reconnect.
func (s *State) SetPeers(live, probeCandidates []Peer) {
	s.live, s.probeCandidates = live, probeCandidates
	liveByNode := make(map[core.NodeID]Peer, len(live))
	for _, p := range live {
		liveByNode[p.Node] = p
	}
	for i := range s.slots {
		if p := &s.slots[i]; p.assigned && !p.probe && liveByNode[p.peer.Node] != p.peer {
			s.release(i)
		}
	}
	if next, ok := s.successor(); ok && s.slots[0].peer != next {
		s.release(0)
	}
}

// successor returns the live peer that is next to this process in the ring of
// hashed node ids, which spans all failure domains.
func (s *State) successor() (Peer, bool) {
	origin := xxhash.Sum64String(string(s.self))
	var next Peer
	minDistance := uint64(math.MaxUint64)
	for _, p := range s.live {
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
// process lacks facts that exist elsewhere.
func (s *State) MarkAllDue() {
	for i := range s.slots {
		s.slots[i].due = true
	}
}

// FinishExchange records the end of a requested exchange. ok is false if no reply
// was received.
func (s *State) FinishExchange(now time.Time, r ExchangeRequest, ok bool) {
	p := &s.slots[r.Slot]
	p.busy = false
	if !p.assigned || p.peer != r.Peer {
		return
	}
	if ok {
		p.missedReplies = 0
		p.retryAt = time.Time{}
		if p.probe {
			s.release(r.Slot)
		}
		return
	}
	p.missedReplies++
	p.retryAt = now.Add(s.cfg.RetryInterval)
	if p.probe || p.missedReplies >= s.cfg.MaxMissedReplies {
		s.release(r.Slot)
	}
}

func (s *State) release(i int) { s.slots[i] = slot{busy: s.slots[i].busy} }

// Step returns the exchanges that are due, given the digest of this process. The
// slot of each returned request is busy until FinishExchange is called.
func (s *State) Step(now time.Time, digest facts.Digest) []ExchangeRequest {
	changed := digest != s.localDigest
	s.localDigest = digest
	s.rotate(now)
	s.fillSlots()
	s.scheduleExchange(now)
	var requests []ExchangeRequest
	for i := range s.slots {
		p := &s.slots[i]
		p.due = p.due || changed
		retry := !p.retryAt.IsZero() && !now.Before(p.retryAt)
		if !p.assigned || p.busy || (!p.due && !retry) {
			continue
		}
		p.busy, p.due, p.retryAt = true, false, time.Time{}
		requests = append(requests, ExchangeRequest{Slot: i, Peer: p.peer})
	}
	return requests
}

// rotate releases one random slot at each rotation interval, so that another peer
// is assigned to it. It keeps the slot if it is busy or the successor's, or if
// there are no more live peers than slots.
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

// fillSlots assigns the free slots to live peers without a slot. The first slot is
// assigned to the successor.
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
		if p, ok := s.pickPeer(s.live, anyPeer); ok {
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
// domains are preferred, it first assigns a peer in one of them to that slot.
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
	p := &s.slots[s.current]
	if p.busy {
		return
	}
	isPreferred := func(p Peer) bool { return s.preferredDomains[p.Domain] }
	if preferred, ok := s.pickPeer(s.live, isPreferred); ok && s.current > 0 && !isPreferred(p.peer) {
		s.assign(s.current, preferred, false)
	}
	p.due = true
}

// selectNextSlot sets current to the next slot with a peer. Each round over the
// slots starts one probe.
func (s *State) selectNextSlot() {
	for range s.cfg.Slots {
		s.current = (s.current + 1) % s.cfg.Slots
		if s.current == 0 {
			s.startProbe()
		}
		if s.slots[s.current].assigned {
			return
		}
	}
}

func (s *State) startProbe() {
	if s.slots[s.cfg.Slots].busy {
		return
	}
	if p, ok := s.pickPeer(s.probeCandidates, anyPeer); ok {
		s.assign(s.cfg.Slots, p, true)
	}
}

// NextStepAt returns the time at which Step must be called again if no event
// requires an earlier call.
func (s *State) NextStepAt() time.Time {
	next := s.nextExchangeAt
	for i := range s.slots {
		if at := s.slots[i].retryAt; !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}
