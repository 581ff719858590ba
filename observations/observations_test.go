package observations_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/observations"
	"waxwingtide.example/waxwingtide/wire"
)

// system is processes named DOMAIN-NUMBER that reach one another in memory.
type system struct {
	names     []string
	processes map[string]*observations.Exchanger
	down      map[string]*atomic.Bool
	// messages counts the calls, between those from one failure domain to another.
	messages atomic.Int64
	between  atomic.Int64
	// crossing counts the observations that passed between failure domains.
	crossing atomic.Int64
}

func domain(name string) string { return strings.Split(name, "-")[0] }

func newSystem(t *testing.T, names ...string) *system {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &system{names: names, processes: make(map[string]*observations.Exchanger), down: make(map[string]*atomic.Bool)}
	group := duty.NewGroup(context.Background(), log)
	for _, name := range names {
		s.down[name] = new(atomic.Bool)
		peers := observations.CollectorCandidates{LocalAddress: name, AllAddresses: names}
		for _, other := range names {
			if domain(other) == domain(name) {
				peers.DomainAddresses = append(peers.DomainAddresses, other)
			}
		}
		s.processes[name] = observations.New(observations.Options{
			Self: core.NodeID(name), Candidates: func() observations.CollectorCandidates { return peers }, ObserveSender: func(*wire.Sender) {}, Log: log,
			Identity: func() *wire.Sender { return &wire.Sender{Node: name, Incarnation: 1} },
			Exchange: func(ctx context.Context, to string, r *wire.ShareRequest) (*wire.ShareReply, error) {
				if s.down[name].Load() || s.down[to].Load() {
					return nil, errs.New(errs.Unavailable, "ask another process", "%s does not answer", to)
				}
				reply, err := s.processes[to].Share(ctx, r)
				s.messages.Add(1)
				if domain(name) != domain(to) {
					s.between.Add(1)
					s.crossing.Add(int64(len(r.Seen) + len(reply.GetSeen())))
				}
				return reply, err
			},
		})
	}
	for _, p := range s.processes {
		p.Start(group)
	}
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
	})
	return s
}

// learned waits and returns which processes have learned of an upstream.
func (s *system) learned(wait time.Duration, id core.UpstreamID, want func(observations.Observation) bool) (out []string) {
	const look = 50 * time.Millisecond
	told := make(map[string]bool)
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(look) {
		for _, name := range s.names {
			for seen, ok := s.processes[name].RemoteObservations().TryReceive(); ok; seen, ok = s.processes[name].RemoteObservations().TryReceive() {
				if slices.ContainsFunc(seen, func(o observations.Observation) bool { return o.Upstream == id && want(o) }) {
					told[name] = true
				}
			}
		}
	}
	for _, name := range s.names {
		if told[name] {
			out = append(out, name)
		}
	}
	return out
}

func loaded(o observations.Observation) bool      { return o.HasLoad }
func unreachable(o observations.Observation) bool { return o.Unreachable }

var names = []string{"east-1", "west-1", "east-2", "west-2", "east-3", "west-3", "north-1"}

// Guards against processes that do not hear what others have seen, or hear it
// late, or get back what they have seen themselves.
func TestAllLearnWhatOneHasSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, names...)
		for i, name := range names {
			id := core.UpstreamID("u-" + name)
			s.processes[name].Record(observations.Observation{Upstream: id, Load: i + 1, HasLoad: true, ObservedAt: time.Now()})
			want := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
			require.Equal(t, want, s.learned(time.Second, id, loaded), "seen by %s", name)
		}
	})
}

// Guards against bytes between failure domains that grow with the number of
// processes in them, and against messages that grow with its square.
func TestLittlePassesBetweenFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, names...)
		time.Sleep(time.Second)
		s.messages.Store(0)
		s.between.Store(0)
		const rounds, upstreams = 50, 20
		for range rounds {
			for u := range upstreams {
				s.processes["west-2"].Record(observations.Observation{Upstream: core.UpstreamID(rune('a' + u)), HasLoad: true, ObservedAt: time.Now()})
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.InDelta(t, rounds*2, s.between.Load(), 6, "one exchange for each other failure domain")
		require.InDelta(t, rounds*(len(names)-1), s.messages.Load(), 20, "one exchange for each process but the first")
		require.LessOrEqual(t, s.crossing.Load(), int64(rounds*upstreams*2), "an observation passes at most once into each other domain")
		require.Greater(t, s.crossing.Load(), int64(rounds*upstreams/2))
	})
}

// Guards against a collecting process that is lost and with it what all others
// see, for a failure domain or for all.
func TestLostCollectorsArePassedOver(t *testing.T) {
	for _, lost := range []string{"west-1", "east-1"} {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, names...)
				time.Sleep(time.Second)
				s.down[lost].Store(true)
				time.Sleep(2 * time.Second)
				s.processes["west-2"].Record(observations.Observation{Upstream: "u", HasLoad: true, Load: 3, ObservedAt: time.Now()})
				want := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == lost || name == "west-2" })
				require.Equal(t, want, s.learned(time.Second, "u", loaded))
			})
		})
	}
}

// Guards against a report of one process that makes others avoid an upstream,
// and against two that do not because their processes are in different failure
// domains.
func TestTwoReportersOfDifferentDomainsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, names...)
		time.Sleep(time.Second)
		s.processes["west-2"].Record(observations.Observation{Upstream: "u", Unreachable: true, ObservedAt: time.Now()})
		require.Empty(t, s.learned(time.Second, "u", unreachable))
		s.processes["north-1"].Record(observations.Observation{Upstream: "u", Unreachable: true, ObservedAt: time.Now()})
		require.Equal(t, names, s.learned(800*time.Millisecond, "u", unreachable))
	})
}
