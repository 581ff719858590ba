package sharing_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/sharing"
	"waxwingtide.example/waxwingtide/wire"
)

// cluster is a set of processes in memory. Their names have the form
// DOMAIN-NUMBER.
type cluster struct {
	names []string
	// mu guards processes, which restart changes.
	mu sync.Mutex
	// unlisted processes are not among the candidates.
	unlisted  map[string]*atomic.Bool
	group     *duty.Group
	log       logrus.FieldLogger
	processes map[string]*sharing.Exchanger
	isolated  map[string]*atomic.Bool
	// messages counts the exchanges, crossDomainMessages those between processes of
	// different failure domains.
	messages            atomic.Int64
	crossDomainMessages atomic.Int64
	// crossDomainObservations counts the observations sent between failure domains.
	crossDomainObservations atomic.Int64
}

func domain(name string) string { return strings.Split(name, "-")[0] }

func newCluster(t *testing.T, names ...string) *cluster {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &cluster{
		names: names, processes: make(map[string]*sharing.Exchanger), isolated: make(map[string]*atomic.Bool), unlisted: make(map[string]*atomic.Bool),
		group: duty.NewGroup(context.Background(), log), log: log,
	}
	for _, name := range names {
		c.isolated[name], c.unlisted[name] = new(atomic.Bool), new(atomic.Bool)
		c.processes[name] = c.newProcess(name, 1)
	}
	for _, name := range names {
		c.process(name).Start(c.group)
	}
	t.Cleanup(func() {
		c.group.Stop()
		require.NoError(t, c.group.Wait())
	})
	return c
}

func (c *cluster) newProcess(name string, incarnation uint64) *sharing.Exchanger {
	return sharing.New(sharing.Options{
		Self: core.NodeID(name), Candidates: func() sharing.CollectorCandidates { return c.candidates(name) }, ObserveEpoch: func(*wire.Sender) {}, Log: c.log,
		Sender: func() *wire.Sender { return &wire.Sender{Node: name, Incarnation: incarnation} },
		Exchange: func(ctx context.Context, address string, request *wire.ShareRequest) (*wire.ShareReply, error) {
			if c.isolated[name].Load() || c.isolated[address].Load() {
				return nil, errs.New(errs.Unavailable, "retry with another process", "%s is isolated", address)
			}
			reply, err := c.process(address).Share(ctx, request)
			c.messages.Add(1)
			if domain(name) != domain(address) {
				c.crossDomainMessages.Add(1)
				c.crossDomainObservations.Add(int64(len(request.Seen) + len(reply.GetSeen())))
			}
			return reply, err
		},
	})
}

func (c *cluster) candidates(name string) sharing.CollectorCandidates {
	candidates := sharing.CollectorCandidates{LocalAddress: name}
	for _, other := range c.names {
		if c.unlisted[other].Load() {
			continue
		}
		candidates.AllAddresses = append(candidates.AllAddresses, other)
		if domain(other) == domain(name) {
			candidates.DomainAddresses = append(candidates.DomainAddresses, other)
		}
	}
	return candidates
}

// restart replaces a process by one without state.
func (c *cluster) restart(name string) {
	restarted := c.newProcess(name, 2)
	restarted.Start(c.group)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = restarted
}

func (c *cluster) process(name string) *sharing.Exchanger {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// receivers polls for a time and returns the names of the processes that received
// a matching observation of an upstream.
func (c *cluster) receivers(duration time.Duration, id core.UpstreamID, matches func(sharing.Observation) bool) (out []string) {
	const pollInterval = 50 * time.Millisecond
	received := make(map[string]bool)
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(pollInterval) {
		for _, name := range c.names {
			for group, ok := c.processes[name].RemoteObservations().TryReceive(); ok; group, ok = c.processes[name].RemoteObservations().TryReceive() {
				if slices.ContainsFunc(group, func(o sharing.Observation) bool { return o.Upstream == id && matches(o) }) {
					received[name] = true
				}
			}
		}
	}
	for _, name := range c.names {
		if received[name] {
			out = append(out, name)
		}
	}
	return out
}

func hasLoad(o sharing.Observation) bool       { return o.HasLoad }
func isUnreachable(o sharing.Observation) bool { return o.Unreachable }

var processNames = []string{"east-1", "west-1", "east-2", "west-2", "east-3", "west-3", "north-1"}

// Guards against processes that do not receive the observations of others, receive
// them late, or receive their own.
func TestObservationReachesAllOtherProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, processNames...)
		for i, name := range processNames {
			id := core.UpstreamID("u-" + name)
			c.processes[name].Record(sharing.Observation{Upstream: id, Load: i + 1, HasLoad: true, ObservedAt: time.Now()})
			want := slices.DeleteFunc(slices.Clone(processNames), func(other string) bool { return other == name })
			require.Equal(t, want, c.receivers(time.Second, id, hasLoad), "observation of %s", name)
		}
	})
}

// Guards against traffic between failure domains that grows with the number of
// processes in a domain, and against a number of messages that grows with the square
// of the number of processes.
func TestCrossDomainTrafficIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, processNames...)
		time.Sleep(time.Second)
		c.messages.Store(0)
		c.crossDomainMessages.Store(0)
		const rounds, upstreams = 50, 20
		for range rounds {
			for u := range upstreams {
				c.processes["west-2"].Record(sharing.Observation{Upstream: core.UpstreamID(rune('a' + u)), HasLoad: true, ObservedAt: time.Now()})
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.InDelta(t, rounds*2, c.crossDomainMessages.Load(), 6, "one exchange for each other failure domain")
		require.InDelta(t, rounds*(len(processNames)-1), c.messages.Load(), 20, "one exchange for each process except the global collector")
		require.LessOrEqual(t, c.crossDomainObservations.Load(), int64(rounds*upstreams*2), "an observation is sent at most once to each other domain")
		require.Greater(t, c.crossDomainObservations.Load(), int64(rounds*upstreams/2))
	})
}

// Guards against the loss of all observations, in a failure domain or everywhere,
// when a domain collector or the global collector is unreachable.
func TestUnreachableCollectorsAreReplaced(t *testing.T) {
	for _, isolated := range []string{"west-1", "east-1"} {
		t.Run(isolated, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, processNames...)
				time.Sleep(time.Second)
				c.isolated[isolated].Store(true)
				time.Sleep(2 * time.Second)
				c.processes["west-2"].Record(sharing.Observation{Upstream: "u", HasLoad: true, Load: 3, ObservedAt: time.Now()})
				want := slices.DeleteFunc(slices.Clone(processNames), func(name string) bool { return name == isolated || name == "west-2" })
				require.Equal(t, want, c.receivers(time.Second, "u", hasLoad))
			})
		})
	}
}

// Guards against a collector that selects itself after it was unreachable while the
// others continue to use its replacement, so that it receives nothing.
func TestReturningCollectorReceivesObservations(t *testing.T) {
	for _, isolated := range []string{"west-1", "east-1"} {
		t.Run(isolated, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, processNames...)
				time.Sleep(time.Second)
				c.isolated[isolated].Store(true)
				time.Sleep(2 * time.Second)
				c.isolated[isolated].Store(false)
				time.Sleep(3 * time.Second)
				c.processes["west-2"].Record(sharing.Observation{Upstream: "u", HasLoad: true, Load: 3, ObservedAt: time.Now()})
				want := slices.DeleteFunc(slices.Clone(processNames), func(name string) bool { return name == "west-2" })
				require.Equal(t, want, c.receivers(time.Second, "u", hasLoad))
			})
		})
	}
}

// Guards against an upstream that is reported as unreachable after the failure of
// a single process, and against two failures that are not combined because their
// reporters are in different failure domains.
func TestReportersOfDifferentDomainsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, processNames...)
		time.Sleep(time.Second)
		c.processes["west-2"].Record(sharing.Observation{Upstream: "u", Unreachable: true, ObservedAt: time.Now()})
		require.Empty(t, c.receivers(time.Second, "u", isUnreachable))
		c.processes["north-1"].Record(sharing.Observation{Upstream: "u", Unreachable: true, ObservedAt: time.Now()})
		require.Equal(t, processNames, c.receivers(800*time.Millisecond, "u", isUnreachable))
	})
}

// Guards against evidence that is lost when processes are restarted one after the
// other: a process that stops and is no longer listed still has it, but sends it to
// nobody, or a restarted collector is taken for one that has received it.
func TestEvidenceOutlivesRestarts(t *testing.T) {
	for _, restarted := range []string{"east-1", "west-1", "west-2"} {
		t.Run(restarted, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				names := []string{"east-1", "west-1", "west-2"}
				c := newCluster(t, names...)
				time.Sleep(time.Second)
				c.restart(restarted)
				for _, name := range names {
					if name != restarted {
						c.unlisted[name].Store(true)
					}
				}
				// The others repeat what they know as soon as they reach a new board.
				state := quarantine.State{Part: quarantine.Part{Model: "m", ID: "bad"}, Version: 1, Until: time.Now().Add(time.Minute)}
				for received := false; !received; {
					for _, name := range names {
						if _, ok := c.processes[name].NewBoards().TryReceive(); ok && name != restarted {
							c.processes[name].RecordEvidence(quarantine.Evidence{States: []quarantine.State{state}})
						}
					}
					time.Sleep(100 * time.Millisecond)
					require.Positive(t, time.Until(state.Until), "no evidence was received")
					evidence, ok := c.processes[restarted].RemoteEvidence().TryReceive()
					received = ok && len(evidence.States) == 1
				}
				require.Greater(t, time.Until(state.Until), 55*time.Second, "evidence was received late")
			})
		})
	}
}

// Guards against a process without contact to the others that takes its own observations for
// those of all, and against one that is the only listed process and waits for others.
func TestLastExchange(t *testing.T) {
	c := newCluster(t, "north-0", "north-1", "south-0")
	c.isolated["north-1"].Store(true)
	exchanged := func(name string) func() bool {
		since := time.Now()
		return func() bool { return c.process(name).LastExchange().After(since) }
	}
	// Two intervals end the exchanges that began before the isolation.
	c.receivers(time.Second, "none", func(sharing.Observation) bool { return false })
	isolated := c.process("north-1").LastExchange()
	require.Eventually(t, exchanged("south-0"), 10*time.Second, 20*time.Millisecond)
	require.Eventually(t, exchanged("north-0"), 10*time.Second, 20*time.Millisecond)
	require.Equal(t, isolated, c.process("north-1").LastExchange())
	c.isolated["north-1"].Store(false)
	require.Eventually(t, exchanged("north-1"), 10*time.Second, 20*time.Millisecond)

	alone := newCluster(t, "north-0")
	since := time.Now()
	require.Eventually(t, func() bool { return alone.process("north-0").LastExchange().After(since) }, 10*time.Second, 20*time.Millisecond)
}
