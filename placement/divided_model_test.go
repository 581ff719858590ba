package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet/quota"
)

const (
	dividedFronts = 31
	dividedLimit  = 21 // 11 a second x 1.5 + 5
	dividedStep   = 40 * time.Millisecond
	// listDelay is the longest time until a front has received a change of the list.
	listDelay = 800 * time.Millisecond
	// restartPause is the time between the planned stop of a front and its next start.
	restartPause = 1300 * time.Millisecond
)

// rowChange is a change of the row of a front in the store.
type rowChange struct {
	at      time.Duration
	node    core.NodeID
	removed bool
}

// dividedFront is a front that receives the list of fronts with a delay of its own.
type dividedFront struct {
	node      core.NodeID
	delay     time.Duration
	startedAt time.Duration
	// stopsAt is the planned stop of the front, 0 if there is none.
	stopsAt time.Duration
	joins   bool
	placer  *Placer
	listed  []core.NodeID
}

// dividedModel is a system whose fronts send as many calls as they may to one cold
// upstream.
type dividedModel struct {
	random  *rand.Rand
	changes []rowChange
	fronts  []*dividedFront
	sent    []time.Duration
}

func newDividedModel(seed uint64) *dividedModel {
	return &dividedModel{random: rand.New(rand.NewPCG(seed, 1))}
}

// start adds a front that registers within half a second after its start. joins is set
// if its row was not in the store before.
func (m *dividedModel) start(i int, at time.Duration, joins bool) *dividedFront {
	f := &dividedFront{node: dividedNode(i), startedAt: at, joins: joins, delay: time.Duration(m.random.Int64N(int64(listDelay)))}
	m.fronts = append(m.fronts, f)
	registered := at + time.Duration(m.random.Int64N(int64(500*time.Millisecond)))
	if !joins {
		registered = -time.Minute
	}
	m.changes = append(m.changes, rowChange{at: registered, node: f.node})
	return f
}

// stop plans the stop of a front, which removes its row.
func (m *dividedModel) stop(f *dividedFront, at time.Duration) {
	f.stopsAt = at
	m.changes = append(m.changes, rowChange{at: at, node: f.node, removed: true})
}

func dividedNode(i int) core.NodeID { return core.NodeID(fmt.Sprintf("front-%d", i)) }

// listAt returns the list of fronts as it was in the store.
func (m *dividedModel) listAt(at time.Duration) []core.NodeID {
	listed := make(map[core.NodeID]bool)
	for _, c := range m.changes { // in the order of time for each node
		if c.at <= at {
			listed[c.node] = !c.removed
		}
	}
	var nodes []core.NodeID
	for i := range dividedFronts {
		if node := dividedNode(i); listed[node] {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// run lets the fronts send calls for a time.
func (m *dividedModel) run(duration time.Duration) {
	in := newInputs(1)
	in.Upstreams = in.Upstreams[:1]
	in.Upstreams[0].ColdRemaining = time.Hour
	for at := time.Duration(0); at < duration; at += dividedStep {
		m.random.Shuffle(len(m.fronts), func(i, j int) { m.fronts[i], m.fronts[j] = m.fronts[j], m.fronts[i] })
		for _, f := range m.fronts {
			if at >= f.startedAt && (f.stopsAt == 0 || at < f.stopsAt) {
				m.step(f, at, in)
			}
		}
	}
}

// step updates the list of a front and lets it send at most one call.
func (m *dividedModel) step(f *dividedFront, at time.Duration, in Inputs) {
	listed := m.listAt(at - f.delay)
	if f.placer == nil || !slices.Equal(listed, f.listed) {
		if f.placer == nil {
			f.placer = New(options(f.node), cacheindex.New())
		}
		f.listed, in.Fronts, in.Joins = listed, listed, f.joins
		f.placer.SetInputs(t0.Add(at), in)
	}
	if _, refusal := f.placer.Choose(t0.Add(at), Request{Service: engines, Prompt: newPrompt("a")}); refusal == NotRefused {
		m.sent = append(m.sent, at)
	}
}

// sentWithin returns the number of calls that were sent within a second from a time on.
func (m *dividedModel) sentWithin(from time.Duration) (calls int) {
	for _, at := range m.sent {
		if at >= from && at < from+time.Second {
			calls++
		}
	}
	return calls
}

// Guards against fronts that together send more calls than a cold upstream can sustain
// while they have different lists of fronts, and against calls that are refused although
// their lists have been the same for a time.
func TestColdLimitHoldsWhileListsOfFrontsDiffer(t *testing.T) {
	const settled = quota.ArrivalDelay + listDelay + 2*time.Second
	cases := map[string]func(m *dividedModel) (end time.Duration){
		"all join at once": func(m *dividedModel) time.Duration {
			for i := range dividedFronts {
				m.start(i, time.Duration(m.random.Int64N(int64(time.Second))), true)
			}
			return 2*time.Second + settled
		},
		"all start again with their rows": func(m *dividedModel) time.Duration {
			for i := range dividedFronts {
				m.start(i, time.Duration(m.random.Int64N(int64(time.Second))), false)
			}
			return 2 * time.Second
		},
		"planned restarts one after the other": func(m *dividedModel) time.Duration {
			at := time.Duration(0)
			for i := range dividedFronts {
				f := m.start(i, 0, false)
				if i%5 == 0 {
					at += 800 * time.Millisecond
					m.stop(f, at)
					m.start(i, at+restartPause, true)
				}
			}
			return at + settled
		},
		"a third joins while another third stops": func(m *dividedModel) time.Duration {
			for i := range dividedFronts {
				at := time.Second + time.Duration(m.random.Int64N(int64(time.Second)))
				if i%3 == 0 {
					m.start(i, at, true)
				} else if f := m.start(i, 0, false); i%3 == 1 {
					m.stop(f, at)
				}
			}
			return 2*time.Second + settled
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				m := newDividedModel(seed)
				end := prepare(m)
				m.run(end + time.Second)
				for _, from := range m.sent {
					require.LessOrEqual(t, m.sentWithin(from), dividedLimit, "seed %d, second from %v", seed, from)
				}
				require.Greater(t, m.sentWithin(end-200*time.Millisecond), dividedLimit/2, "seed %d, when the lists are the same", seed)
			}
		})
	}
}

// Guards against fronts that each use the slack of the whole system for retries, because
// they start at once and their lists have few fronts.
func TestRetrySlackHoldsWhileListsOfFrontsDiffer(t *testing.T) {
	const slack, calls = 52, 3 * dividedFronts
	for seed := range uint64(3) {
		m, retries := newDividedModel(seed), 0
		for i := range dividedFronts {
			m.start(i, 0, true)
		}
		in := newInputs(1)
		for _, f := range m.fronts {
			placer := New(options(f.node), cacheindex.New())
			for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
				in.Fronts, in.Joins = m.listAt(at-f.delay), f.joins
				placer.SetInputs(t0.Add(at), in)
				retry := at%time.Second != 0
				_, refusal := placer.Choose(t0.Add(at), Request{Service: plainService, Retry: retry})
				if retry && refusal == NotRefused {
					retries++
				}
			}
		}
		require.LessOrEqual(t, float64(retries), 0.2*calls+slack, "seed %d", seed)
	}
}
