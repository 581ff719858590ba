package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/gossip"
)

var start = time.Unix(1_000, 0)

func peers(n int) []gossip.Peer {
	out := make([]gossip.Peer, n)
	for i := range out {
		out[i] = gossip.Peer{
			Node:   core.NodeID(fmt.Sprint("n", i)),
			Domain: core.FailureDomain(fmt.Sprint("d", i%3)),
		}
	}
	return out
}

func newState(live, probes []gossip.Peer) *gossip.State {
	s := gossip.New(gossip.DefaultConfig(), "self", rand.New(rand.NewPCG(1, 1)), start)
	s.SetPeers(live, probes)
	return s
}

func finish(s *gossip.State, now time.Time, orders []gossip.ExchangeRequest) {
	for _, o := range orders {
		s.FinishExchange(now, o, true)
	}
}

// Guards against more idle exchanges than one an interval, and against a
// connection for each exchange.
func TestIdlePace(t *testing.T) {
	s := newState(peers(50), nil)
	finish(s, start, s.Step(start, facts.Digest{}))
	exchanges, seen := 0, map[core.NodeID]bool{}
	for now := start; now.Before(start.Add(time.Minute)); now = s.NextStepAt() {
		orders := s.Step(now, facts.Digest{})
		for _, o := range orders {
			seen[o.Peer.Node] = true
		}
		exchanges += len(orders)
		finish(s, now, orders)
	}
	rotations := 2
	require.InDelta(t, 60, exchanges, float64(2*rotations))
	require.LessOrEqual(t, len(seen), gossip.DefaultConfig().Slots+rotations)
}

// Guards against a change that is not pushed, pushed twice, or forgotten while
// an exchange is under way.
func TestChangeIsPushedOnce(t *testing.T) {
	old, changed := facts.Digest{Epoch: 1}, facts.Digest{Epoch: 2}
	s := newState(peers(50), nil)
	first := s.Step(start, old)
	require.Len(t, first, gossip.DefaultConfig().Slots)
	require.Empty(t, s.Step(start, changed), "all slots are busy")
	finish(s, start, first)
	pushed := s.Step(start, changed)
	require.Len(t, pushed, len(first), "a change during an exchange is pushed after it")
	finish(s, start, pushed)
	require.Empty(t, s.Step(start, changed))
}

// Guards against a slot that stays on a peer that does not answer, and against
// a slow second attempt after a missed reply.
func TestMissedReply(t *testing.T) {
	cfg := gossip.DefaultConfig()
	s := newState(peers(50), nil)
	orders := s.Step(start, facts.Digest{})
	silent := orders[1]
	finish(s, start, append(orders[:1:1], orders[2:]...))
	s.FinishExchange(start, silent, false)
	require.False(t, s.NextStepAt().After(start.Add(cfg.RetryInterval)))

	now := start.Add(cfg.RetryInterval)
	require.Contains(t, s.Step(now, facts.Digest{}), silent, "same peer once more")
	s.FinishExchange(now, silent, false)
	for _, o := range s.Step(now, facts.Digest{}) {
		require.NotEqual(t, silent.Peer, o.Peer)
	}
}

// Guards against two sides of a healed partition that never meet again.
func TestFailedMembersAreProbed(t *testing.T) {
	failed := gossip.Peer{Node: "other side", Domain: "d9"}
	s := newState(peers(3), []gossip.Peer{failed})
	probes := 0
	for now := start; now.Before(start.Add(time.Minute)); now = s.NextStepAt() {
		orders := s.Step(now, facts.Digest{})
		for _, o := range orders {
			ok := o.Peer != failed
			if !ok {
				probes++
			}
			s.FinishExchange(now, o, ok)
		}
	}
	require.InDelta(t, 20, probes, 1, "one probe in each round over the three peers")
}

// Guards against a process that is no other's peer: a push would not reach it.
func TestEveryProcessIsSomeonesPeer(t *testing.T) {
	const n = 100
	all, reached := peers(n), map[core.NodeID]bool{}
	for i, self := range all {
		others := slices.Delete(slices.Clone(all), i, i+1)
		s := gossip.New(gossip.DefaultConfig(), self.Node, rand.New(rand.NewPCG(uint64(i), 1)), start)
		s.SetPeers(others, nil)
		reached[s.Step(start, facts.Digest{})[0].Peer.Node] = true
	}
	require.Len(t, reached, n)
}

func TestReadiness(t *testing.T) {
	type step func(*gossip.Readiness)
	heard := func(d core.FailureDomain, e core.Epoch) step {
		return func(r *gossip.Readiness) { r.ObservePeerEpoch(d, e) }
	}
	read := func(e core.Epoch) step { return func(r *gossip.Readiness) { r.ObserveTableEpoch(e) } }
	cases := map[string]struct {
		steps   []step
		inForce core.Epoch
		alone   bool
		want    bool
	}{
		"nothing known":                      {nil, 0, true, false},
		"table read":                         {[]step{read(4)}, 4, false, true},
		"table has no head":                  {[]step{read(0)}, 0, false, false},
		"table head without its bundle":      {[]step{read(5)}, 4, false, false},
		"one domain not heard":               {[]step{heard("a", 4), heard("b", 4)}, 4, false, false},
		"all domains heard":                  {[]step{heard("a", 4), heard("b", 3), heard("c", 4)}, 4, false, true},
		"a higher epoch was heard":           {[]step{heard("a", 4), heard("b", 5), heard("c", 4)}, 4, false, false},
		"a peer without a head":              {[]step{heard("a", 4), heard("b", 4), heard("c", 0)}, 4, false, false},
		"alone in its own domain":            {[]step{heard("b", 4), heard("c", 4)}, 4, true, true},
		"own domain has others, not heard":   {[]step{heard("b", 4), heard("c", 4)}, 4, false, false},
		"alone does not excuse other domain": {[]step{heard("a", 4), heard("b", 4)}, 4, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := gossip.NewReadiness("a", []core.FailureDomain{"a", "b", "c"})
			for _, s := range c.steps {
				s(r)
			}
			require.Equal(t, c.want, r.Ready(c.inForce, c.alone))
			if c.want {
				r.ObservePeerEpoch("b", 100)
				require.True(t, r.Ready(c.inForce, c.alone), "readiness is kept")
			}
		})
	}
}

// Guards against a failure domain without readers or with too many.
func TestReadersOfADomain(t *testing.T) {
	all := peers(30)
	readers := map[core.FailureDomain]int{}
	for _, p := range all {
		if gossip.IsReader(p.Node, p.Domain, all) {
			readers[p.Domain]++
		}
	}
	require.Equal(t, map[core.FailureDomain]int{"d0": 2, "d1": 2, "d2": 2}, readers)
	require.True(t, gossip.IsReader("lone", "d9", all))
}
