package observations

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/wire"
)

// candidates is how many processes are tried for the collecting one, so that a
// process that does not answer is passed over.
const candidates = 4

// link is the exchange with a collecting process.
type link struct {
	// turn chooses the process among the candidates.
	turn    int
	address string
	failing bool
	// board and after are those of the last reply.
	board uint64
	after uint64
	// sent is the number of the own board's newest observation that was handed on.
	sent uint64
}

// choose returns the process to ask. Another one has had nothing yet.
func (l *link) choose(addresses []string) string {
	address := addresses[l.turn%min(len(addresses), candidates)]
	if address != l.address {
		*l = link{turn: l.turn, address: address, failing: l.failing}
	}
	return address
}

// exchange is the duty that tells collecting processes what was seen here.
type exchange struct {
	*Exchanger
	domain link
	all    link
	// local is the number of the own board's newest observation that was learned.
	local uint64
}

// runExchange is the loop of the duty.
func (s *Exchanger) runExchange(ctx context.Context) error {
	x := &exchange{Exchanger: s}
	for duty.Pause(ctx, interval) {
		peers := s.opts.Candidates()
		if len(peers.AllAddresses) < 2 || len(peers.DomainAddresses) == 0 {
			continue // nobody else is known, or the own row is not
		}
		var own []Observation
		for o, ok := s.seen.TryReceive(); ok; o, ok = s.seen.TryReceive() {
			own = append(own, o)
		}
		if address := x.domain.choose(peers.DomainAddresses); address != peers.LocalAddress {
			if reply := x.send(ctx, &x.domain, own, false); reply != nil {
				s.learned.Push(decode(time.Now(), reply.Seen))
			}
			continue
		}
		x.collect(ctx, peers, own)
	}
	return nil
}

// collect exchanges with the collector for all on behalf of the failure domain.
func (x *exchange) collect(ctx context.Context, peers CollectorCandidates, own []Observation) {
	if _, err := x.board(ctx, ask{via: x.opts.Self, seen: own, after: x.local}); err != nil {
		return // the process is stopping
	}
	if x.all.choose(peers.AllAddresses) != peers.LocalAddress {
		out, err := x.board(ctx, ask{via: above, after: x.all.sent, collector: true})
		if err != nil {
			return
		}
		if reply := x.send(ctx, &x.all, out.seen, true); reply != nil {
			x.all.sent = out.after
			if _, err := x.board(ctx, ask{via: above, seen: decode(time.Now(), reply.Seen), after: out.after}); err != nil {
				return
			}
		}
	}
	if got, err := x.board(ctx, ask{via: x.opts.Self, after: x.local}); err == nil {
		x.local = got.after
		x.learned.Push(got.seen)
	}
}

// send exchanges with a collecting process. It returns nil if that fails; the
// next candidate is asked then.
func (x *exchange) send(ctx context.Context, l *link, seen []Observation, collector bool) *wire.ShareReply {
	request := &wire.ShareRequest{
		Sender: x.opts.Identity(), Seen: encode(time.Now(), seen), Board: l.board, After: l.after, Collector: collector,
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := x.opts.Exchange(ctx, l.address, request)
	log := x.opts.Log.WithFields(logrus.Fields{"collector": l.address, "for_domains": collector})
	if err != nil {
		if !l.failing {
			log.WithField("event", "collector_lost").WithError(err).Warn("process that collects observations does not answer")
		}
		l.turn++
		l.failing = true
		return nil
	}
	if l.failing {
		log.WithField("event", "collector_regained").Info("observations are shared again")
	}
	l.failing, l.board, l.after = false, reply.Board, reply.After
	x.opts.ObserveSender(reply.GetSender())
	return reply
}

func encode(now time.Time, seen []Observation) []*wire.Observation {
	out := make([]*wire.Observation, len(seen))
	for i, o := range seen {
		out[i] = &wire.Observation{
			Upstream: string(o.Upstream), HasLoad: o.HasLoad, Load: uint32(max(o.Load, 0)), //nolint:gosec // loads are small
			Unreachable: o.Unreachable, Reporter: string(o.Reporter),
			AgeMs: uint32(max(now.Sub(o.ObservedAt).Milliseconds(), 0)), //nolint:gosec // ages are below a minute
		}
	}
	return out
}

func decode(now time.Time, seen []*wire.Observation) []Observation {
	out := make([]Observation, len(seen))
	for i, o := range seen {
		out[i] = Observation{
			Upstream: core.UpstreamID(o.Upstream), HasLoad: o.HasLoad, Load: int(o.Load), Unreachable: o.Unreachable,
			Reporter: core.NodeID(o.Reporter), ObservedAt: now.Add(-time.Duration(o.AgeMs) * time.Millisecond),
		}
	}
	return out
}
