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

func finish(s *gossip.State, now time.Time, requests []gossip.ExchangeRequest) {
	for _, r := range requests {
		s.FinishExchange(now, r, true)
	}
}

// Guards against more than one exchange per interval while no facts change, and
// against a new connection for each exchange.
func TestIdleExchangeRate(t *testing.T) {
	s := newState(peers(50), nil)
	finish(s, start, s.Step(start, facts.Digest{}))
	exchanges, contacted := 0, map[core.NodeID]bool{}
	for now := start; now.Before(start.Add(time.Minute)); now = s.NextStepAt() {
		requests := s.Step(now, facts.Digest{})
		for _, r := range requests {
			contacted[r.Peer.Node] = true
		}
		exchanges += len(requests)
		finish(s, now, requests)
	}
	rotations := 2
	require.InDelta(t, 60, exchanges, float64(2*rotations))
	require.LessOrEqual(t, len(contacted), gossip.DefaultConfig().Slots+rotations)
}

// Guards against a change that is not pushed, is pushed twice, or is lost because
// it occurs during an exchange.
func TestChangeIsPushedOnce(t *testing.T) {
	old, changed := facts.Digest{Epoch: 1}, facts.Digest{Epoch: 2}
	s := newState(peers(50), nil)
	initial := s.Step(start, old)
	require.Len(t, initial, gossip.DefaultConfig().Slots)
	require.Empty(t, s.Step(start, changed), "all slots are busy")
	finish(s, start, initial)
	pushed := s.Step(start, changed)
	require.Len(t, pushed, len(initial), "a change during an exchange is pushed after it")
	finish(s, start, pushed)
	require.Empty(t, s.Step(start, changed))
}

// Guards against a slot that remains assigned to a peer that does not reply, and
// against a retry after a missed reply that waits for the full interval.
func TestMissedReply(t *testing.T) {
	cfg := gossip.DefaultConfig()
	s := newState(peers(50), nil)
	requests := s.Step(start, facts.Digest{})
	unresponsive := requests[1]
	finish(s, start, append(requests[:1:1], requests[2:]...))
	s.FinishExchange(start, unresponsive, false)
	require.False(t, s.NextStepAt().After(start.Add(cfg.RetryInterval)))

	now := start.Add(cfg.RetryInterval)
	require.Contains(t, s.Step(now, facts.Digest{}), unresponsive, "the same peer is retried once")
	s.FinishExchange(now, unresponsive, false)
	for _, r := range s.Step(now, facts.Digest{}) {
		require.NotEqual(t, unresponsive.Peer, r.Peer)
	}
}

// Guards against two sides of a healed partition that never reconnect.
func TestFailedMembersAreProbed(t *testing.T) {
	failed := gossip.Peer{Node: "other side", Domain: "d9"}
	s := newState(peers(3), []gossip.Peer{failed})
	probes := 0
	for now := start; now.Before(start.Add(time.Minute)); now = s.NextStepAt() {
		requests := s.Step(now, facts.Digest{})
		for _, r := range requests {
			ok := r.Peer != failed
			if !ok {
				probes++
			}
			s.FinishExchange(now, r, ok)
		}
	}
	require.InDelta(t, 20, probes, 1, "one probe in each round over the three peers")
}

// Guards against a process that is not a peer of any other process: a push would
// not reach it.
func TestEveryProcessIsAPeer(t *testing.T) {
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
	received := func(d core.FailureDomain, e core.Epoch) step {
		return func(r *gossip.Readiness) { r.ObservePeerEpoch(d, e) }
	}
	read := func(e core.Epoch) step { return func(r *gossip.Readiness) { r.ObserveTableEpoch(e) } }
	cases := map[string]struct {
		steps   []step
		inForce core.Epoch
		alone   bool
		want    bool
	}{
		"nothing received":                       {nil, 0, true, false},
		"table read":                             {[]step{read(4)}, 4, false, true},
		"table has no head":                      {[]step{read(0)}, 0, false, false},
		"table head without its bundle":          {[]step{read(5)}, 4, false, false},
		"one domain missing":                     {[]step{received("a", 4), received("b", 4)}, 4, false, false},
		"all domains received":                   {[]step{received("a", 4), received("b", 3), received("c", 4)}, 4, false, true},
		"a higher epoch was received":            {[]step{received("a", 4), received("b", 5), received("c", 4)}, 4, false, false},
		"a peer without a head":                  {[]step{received("a", 4), received("b", 4), received("c", 0)}, 4, false, false},
		"alone in the local domain":              {[]step{received("b", 4), received("c", 4)}, 4, true, true},
		"local domain has others, none received": {[]step{received("b", 4), received("c", 4)}, 4, false, false},
		"alone does not exempt other domains":    {[]step{received("a", 4), received("b", 4)}, 4, true, false},
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
				require.True(t, r.Ready(c.inForce, c.alone), "a ready process remains ready")
			}
		})
	}
}

// Guards against a failure domain without readers or with too many readers.
func TestReadersPerDomain(t *testing.T) {
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
