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

func newState(live, probeCandidates []gossip.Peer) *gossip.State {
	s := gossip.New(gossip.DefaultConfig(), "self", rand.New(rand.NewPCG(1, 1)), start)
	s.SetPeers(live, probeCandidates)
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
	finish(s, start, s.Step(start, facts.StoreDigest{}))
	exchanges, contacted := 0, map[core.NodeID]bool{}
	for now := start; now.Before(start.Add(time.Minute)); now = s.NextStepAt() {
		requests := s.Step(now, facts.StoreDigest{})
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

// Guards against a change that is not sent to the peers of all slots, is sent
// twice, or is lost because it occurs during an exchange.
func TestChangeIsSentOnce(t *testing.T) {
	oldDigest, newDigest := facts.StoreDigest{Epoch: 1}, facts.StoreDigest{Epoch: 2}
	s := newState(peers(50), nil)
	initial := s.Step(start, oldDigest)
	require.Len(t, initial, gossip.DefaultConfig().Slots)
	require.Empty(t, s.Step(start, newDigest), "all slots are busy")
	finish(s, start, initial)
	afterChange := s.Step(start, newDigest)
	require.Len(t, afterChange, len(initial), "a change during an exchange is sent after it")
	finish(s, start, afterChange)
	require.Empty(t, s.Step(start, newDigest))
}

// Guards against a slot that remains assigned to a peer that does not reply, and
// against a retry after a missed reply that waits for the full interval.
func TestMissedReply(t *testing.T) {
	cfg := gossip.DefaultConfig()
	s := newState(peers(50), nil)
	requests := s.Step(start, facts.StoreDigest{})
	unresponsive := requests[1]
	finish(s, start, append(requests[:1:1], requests[2:]...))
	s.FinishExchange(start, unresponsive, false)
	require.False(t, s.NextStepAt().After(start.Add(cfg.RetryInterval)))

	now := start.Add(cfg.RetryInterval)
	require.Contains(t, s.Step(now, facts.StoreDigest{}), unresponsive, "the same peer is retried once")
	s.FinishExchange(now, unresponsive, false)
	for _, r := range s.Step(now, facts.StoreDigest{}) {
		require.NotEqual(t, unresponsive.Peer, r.Peer)
	}
}

// Guards against two sides of a healed partition that never reconnect.
func TestFailedMembersAreProbed(t *testing.T) {
	failedPeer := gossip.Peer{Node: "other side", Domain: "d9"}
	s := newState(peers(3), []gossip.Peer{failedPeer})
	probes := 0
	for now := start; now.Before(start.Add(time.Minute)); now = s.NextStepAt() {
		requests := s.Step(now, facts.StoreDigest{})
		for _, r := range requests {
			ok := r.Peer != failedPeer
			if !ok {
				probes++
			}
			s.FinishExchange(now, r, ok)
		}
	}
	require.InDelta(t, 20, probes, 1, "one probe in each round over the three peers")
}

// Guards against a process that is not a peer of any other process: changes would
// not be sent to it.
func TestEveryProcessIsAPeer(t *testing.T) {
	const n = 100
	all, reached := peers(n), map[core.NodeID]bool{}
	for i, self := range all {
		others := slices.Delete(slices.Clone(all), i, i+1)
		s := gossip.New(gossip.DefaultConfig(), self.Node, rand.New(rand.NewPCG(uint64(i), 1)), start)
		s.SetPeers(others, nil)
		reached[s.Step(start, facts.StoreDigest{})[0].Peer.Node] = true
	}
	require.Len(t, reached, n)
}

// Guards against a process that accepts work before it has enough facts, and
// against a process that never becomes ready although it has enough facts.
func TestReadiness(t *testing.T) {
	type step func(*gossip.Readiness)
	peerEpoch := func(d core.FailureDomain, e core.Epoch) step {
		return func(r *gossip.Readiness) { r.ObservePeerEpoch(d, e) }
	}
	tableEpoch := func(e core.Epoch) step { return func(r *gossip.Readiness) { r.ObserveTableEpoch(e) } }
	cases := map[string]struct {
		steps        []step
		epochInForce core.Epoch
		alone        bool
		want         bool
	}{
		"nothing received":                       {nil, 0, true, false},
		"table read":                             {[]step{tableEpoch(4)}, 4, false, true},
		"table has no head":                      {[]step{tableEpoch(0)}, 0, false, false},
		"table head without its bundle":          {[]step{tableEpoch(5)}, 4, false, false},
		"one domain missing":                     {[]step{peerEpoch("a", 4), peerEpoch("b", 4)}, 4, false, false},
		"all domains received":                   {[]step{peerEpoch("a", 4), peerEpoch("b", 3), peerEpoch("c", 4)}, 4, false, true},
		"a higher epoch was received":            {[]step{peerEpoch("a", 4), peerEpoch("b", 5), peerEpoch("c", 4)}, 4, false, false},
		"a peer without a head":                  {[]step{peerEpoch("a", 4), peerEpoch("b", 4), peerEpoch("c", 0)}, 4, false, false},
		"alone in the local domain":              {[]step{peerEpoch("b", 4), peerEpoch("c", 4)}, 4, true, true},
		"local domain has others, none received": {[]step{peerEpoch("b", 4), peerEpoch("c", 4)}, 4, false, false},
		"alone does not exempt other domains":    {[]step{peerEpoch("a", 4), peerEpoch("b", 4)}, 4, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := gossip.NewReadiness("a", []core.FailureDomain{"a", "b", "c"})
			for _, s := range c.steps {
				s(r)
			}
			require.Equal(t, c.want, r.Ready(c.epochInForce, c.alone))
			if c.want {
				r.ObservePeerEpoch("b", 100)
				require.True(t, r.Ready(c.epochInForce, c.alone), "a ready process remains ready")
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
