// Package observations spreads what each process sees of upstreams. One process of
// each failure domain collects for its domain, and one of these for all, so that
// the number of messages grows with the number of processes, and what passes
// between failure domains only with their number. Each process gets only what is
// new to it.
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

// Peers are the addresses of the processes that may collect. All processes give
// the same order; the first one that answers collects.
type Peers struct {
	// Self is the own address, Domain those of the own failure domain, All those
	// of all processes. Both contain Self.
	Self   string
	Domain []string
	All    []string
}

// Options are what a Sharing needs.
type Options struct {
	Self  core.NodeID
	Peers func() Peers
	Share func(ctx context.Context, address string, request *wire.ShareRequest) (*wire.ShareReply, error)
	// Identity returns the sender that messages carry, Heard takes that of others'.
	Identity func() *wire.Sender
	Heard    func(sender *wire.Sender)
	Log      logrus.FieldLogger
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

// Sharing runs the duties.
type Sharing struct {
	opts    Options
	seen    *ring.Ring[Observation]
	learned *ring.Ring[[]Observation]
	asks    *ring.Ring[ask]
}

// New returns a Sharing that has not started.
func New(opts Options) *Sharing {
	return &Sharing{
		opts: opts, seen: ring.New[Observation](seenRing), learned: ring.New[[]Observation](learnedRing),
		asks: ring.New[ask](askRing),
	}
}

// Start runs the duties in a group.
func (s *Sharing) Start(g *duty.Group) {
	g.Go("sharing", s.runExchange)
	g.Go("observations", s.runBoard)
}

// Saw adds an own observation. It never blocks.
func (s *Sharing) Saw(o Observation) { s.seen.Push(o) }

// Learned holds what others have seen.
func (s *Sharing) Learned() *ring.Ring[[]Observation] { return s.learned }

// runBoard is the duty that collects observations, if others ask this process.
func (s *Sharing) runBoard(ctx context.Context) error {
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
func (s *Sharing) board(ctx context.Context, a ask) (answer, error) {
	got, err := ring.TryRequest(ctx, s.asks, func(reply *ring.Ring[answer]) ask {
		a.reply = reply
		return a
	})
	return got, errs.Wrap(err, errs.Exhausted, "ask another process", "the exchange was not answered")
}

// Share implements the inner protocol.
func (s *Sharing) Share(ctx context.Context, request *wire.ShareRequest) (*wire.ShareReply, error) {
	s.opts.Heard(request.GetSender())
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
