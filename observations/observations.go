// Package observations exchanges observations of upstreams between processes. One
// process of each failure domain, the domain collector, collects the observations
// of its domain. One process, the global collector, collects those of all domain
// collectors. The number of messages therefore grows linearly with the number of
// processes, and the traffic between failure domains grows only with the number of
// domains. Each process receives only observations that are new to it.
package observations

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// interval is the time between two exchanges with a collecting process.
	interval = 200 * time.Millisecond
	timeout  = 300 * time.Millisecond
	// seenRing bounds own observations that wait for an exchange; the oldest are
	// dropped.
	seenRing = 1024
	// learnedRing bounds the groups of others' observations that wait for the
	// router; the oldest are dropped.
	learnedRing = 16
	askRing     = 256
	// above names the collector for all in a domain collector's own board.
	above core.NodeID = "\x00above"
)

// CollectorCandidates are the addresses of the processes that may be collectors.
// The lists are sorted in the same way in all processes. The first process of a
// list that responds is the collector.
type CollectorCandidates struct {
	LocalAddress string
	// DomainAddresses are the addresses of the processes in the local failure
	// domain. They include LocalAddress.
	DomainAddresses []string
	// AllAddresses are the addresses of all processes, including LocalAddress.
	AllAddresses []string
}

// Options configure an Exchanger.
type Options struct {
	Self       core.NodeID
	Candidates func() CollectorCandidates
	// Exchange calls the method Share of the inner protocol at a collector.
	Exchange func(ctx context.Context, address string, request *wire.ShareRequest) (*wire.ShareReply, error)
	// Identity returns the sender field of outgoing messages.
	Identity func() *wire.Sender
	// ObserveSender is called with the sender field of each received message.
	ObserveSender func(sender *wire.Sender)
	Log           logrus.FieldLogger
}

// ask hands observations to the board and asks for what is new.
type ask struct {
	via       core.NodeID
	seen      []Observation
	after     uint64
	collector bool
	reply     *ring.Ring[answer]
}

type answer struct {
	seen  []Observation
	after uint64
}

// Exchanger runs the two duties that exchange and collect observations.
type Exchanger struct {
	opts    Options
	seen    *ring.Ring[Observation]
	learned *ring.Ring[[]Observation]
	asks    *ring.Ring[ask]
}

// New returns an Exchanger whose duties have not started.
func New(opts Options) *Exchanger {
	return &Exchanger{
		opts: opts, seen: ring.New[Observation](seenRing), learned: ring.New[[]Observation](learnedRing),
		asks: ring.New[ask](askRing),
	}
}

// Start starts the duties in a group.
func (s *Exchanger) Start(g *duty.Group) {
	g.Go("sharing", s.runExchange)
	g.Go("observations", s.runBoard)
}

// Record queues a local observation for the next exchange. It never blocks.
func (s *Exchanger) Record(o Observation) { s.seen.Push(o) }

// RemoteObservations returns the ring of the other processes' observations.
func (s *Exchanger) RemoteObservations() *ring.Ring[[]Observation] { return s.learned }

// runBoard is the duty that collects observations, if others ask this process.
func (s *Exchanger) runBoard(ctx context.Context) error {
	b := newBoard()
	for {
		a, err := s.asks.Receive(ctx)
		if err != nil {
			return nil
		}
		b.take(a.via, a.seen)
		a.reply.Push(answer{seen: b.since(time.Now(), a.via, a.after, a.collector), after: b.number})
	}
}

// board asks the own board.
func (s *Exchanger) board(ctx context.Context, a ask) (answer, error) {
	got, err := ring.TryRequest(ctx, s.asks, func(reply *ring.Ring[answer]) ask {
		a.reply = reply
		return a
	})
	return got, errs.Wrap(err, errs.Exhausted, "ask another process", "the exchange was not answered")
}

// Share implements the method Share of the inner protocol.
func (s *Exchanger) Share(ctx context.Context, request *wire.ShareRequest) (*wire.ShareReply, error) {
	s.opts.ObserveSender(request.GetSender())
	self := s.opts.Identity()
	a := ask{via: core.NodeID(request.GetSender().GetNode()), seen: decode(time.Now(), request.Seen), collector: request.Collector}
	if request.Board == self.Incarnation {
		a.after = request.After
	}
	got, err := s.board(ctx, a)
	if err != nil {
		return nil, err
	}
	return &wire.ShareReply{Seen: encode(time.Now(), got.seen), Board: self.Incarnation, After: got.after, Sender: self}, nil
}
