package sharing

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
	// interval is the time between two exchanges with the collecting process.
	interval = 200 * time.Millisecond
	timeout  = 300 * time.Millisecond
	// seenRing bounds own observations that wait for an exchange; the oldest are
	// dropped.
	seenRing = 1024
	// learnedRing bounds the groups of others' observations that wait for the
	// router; the oldest are dropped.
	learnedRing = 4
	askRing     = 256
	// candidates is how many processes are tried for the collecting one, so that
	// a process that does not answer is passed over.
	candidates = 4
)

// Options are what a Sharing needs.
type Options struct {
	Self core.NodeID
	// Collectors returns the addresses of the processes that may collect, the one
	// to ask first before others. All processes give the same order.
	Collectors func() []string
	Share      func(ctx context.Context, address string, request *wire.ShareRequest) (*wire.ShareReply, error)
	Log        logrus.FieldLogger
}

type ask struct {
	request *wire.ShareRequest
	reply   *ring.Ring[*wire.ShareReply]
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
		now := time.Now()
		b.take(core.NodeID(a.request.GetSender().GetNode()), decode(now, a.request.Seen))
		a.reply.Push(&wire.ShareReply{Seen: encode(now, b.newest(now))})
	}
}

// runExchange is the duty that tells the collecting process what was seen here.
func (s *Sharing) runExchange(ctx context.Context) error {
	turn, failing := 0, false
	for duty.Pause(ctx, interval) {
		collectors := s.opts.Collectors()
		if len(collectors) < 2 {
			continue // nobody else is known
		}
		var own []Observation
		for o, ok := s.seen.TryReceive(); ok; o, ok = s.seen.TryReceive() {
			own = append(own, o)
		}
		now := time.Now()
		request := &wire.ShareRequest{Sender: &wire.Sender{Node: string(s.opts.Self)}, Seen: encode(now, own)}
		address := collectors[turn%min(len(collectors), candidates)]
		reply, err := s.exchange(ctx, address, request)
		if err != nil {
			if !failing {
				s.opts.Log.WithFields(logrus.Fields{"event": "collector_lost", "collector": address}).WithError(err).Warn("process that collects observations does not answer")
			}
			turn++
			failing = true
			continue
		}
		if failing {
			s.opts.Log.WithFields(logrus.Fields{"event": "collector_regained", "collector": address}).Info("observations are shared again")
		}
		failing = false
		s.learned.Push(decode(now, reply.Seen))
	}
	return nil
}

func (s *Sharing) exchange(ctx context.Context, address string, request *wire.ShareRequest) (*wire.ShareReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.opts.Share(ctx, address, request)
}

// Share implements the inner protocol.
func (s *Sharing) Share(ctx context.Context, request *wire.ShareRequest) (*wire.ShareReply, error) {
	reply, err := ring.TryAsk(ctx, s.asks, func(reply *ring.Ring[*wire.ShareReply]) ask {
		return ask{request: request, reply: reply}
	})
	return reply, errs.Wrap(err, errs.Exhausted, "ask another process", "the exchange was not answered")
}

func encode(now time.Time, seen []Observation) []*wire.Observation {
	out := make([]*wire.Observation, len(seen))
	for i, o := range seen {
		out[i] = &wire.Observation{
			Upstream: string(o.Upstream), HasLoad: o.HasLoad, Load: uint32(max(o.Load, 0)), //nolint:gosec // loads are small
			Unreachable: o.Unreachable, AgeMs: uint32(max(now.Sub(o.At).Milliseconds(), 0)), //nolint:gosec // ages are below a minute
		}
	}
	return out
}

func decode(now time.Time, seen []*wire.Observation) []Observation {
	out := make([]Observation, len(seen))
	for i, o := range seen {
		out[i] = Observation{
			Upstream: core.UpstreamID(o.Upstream), HasLoad: o.HasLoad, Load: int(o.Load), Unreachable: o.Unreachable,
			At: now.Add(-time.Duration(o.AgeMs) * time.Millisecond),
		}
	}
	return out
}
