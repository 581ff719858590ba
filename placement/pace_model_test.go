package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/sharing"
)

// The model of this file has servers of a plain service that run a number of calls at once,
// queue the others and differ in their pace, and fronts with the real placement that
// exchange their observations at intervals.

const (
	paceTick     = time.Millisecond
	paceWork     = 60 * time.Millisecond
	paceExchange = 200 * time.Millisecond
	paceSlots    = 6 // of each server
)

// paceModel is a run of the model.
type paceModel struct {
	fronts   []*Placer
	servers  []*paceServer
	random   *rand.Rand
	pending  []paceReport
	announce bool
	// ideal is set when calls go to the server with the fewest calls, as if all fronts knew
	// all loads at once.
	ideal bool
	// slowdown returns the slowdown of a server at a time.
	slowdown func(server int, at time.Duration) float64
	// onSent and onAnswer are called for each call.
	onSent   func(server int, at time.Duration)
	onAnswer func(at, took time.Duration)
}

type paceServer struct {
	id             core.UpstreamID
	running, queue []*paceCall
}

type paceCall struct {
	front  int
	choice Choice
	sentAt time.Time
	work   time.Duration
}

type paceReport struct {
	front int
	o     sharing.Observation
}

func newPaceModel(seed uint64, fronts int) *paceModel {
	m := &paceModel{
		random: rand.New(rand.NewPCG(seed, 1)), slowdown: func(int, time.Duration) float64 { return 1 },
		onSent: func(int, time.Duration) {}, onAnswer: func(_, _ time.Duration) {},
	}
	in := newInputs(fronts)
	for _, u := range in.Upstreams {
		u.Slots = paceSlots
	}
	for i := range fronts {
		placer := New(options(core.NodeID(fmt.Sprintf("front-%d", i))), cacheindex.New())
		placer.SetInputs(t0, in)
		m.fronts = append(m.fronts, placer)
	}
	for _, u := range in.Upstreams {
		if u.Service == plainService {
			m.servers = append(m.servers, &paceServer{id: u.ID})
		}
	}
	return m
}

// play runs the model with a number of calls per second.
func (m *paceModel) play(callsPerSecond float64, length time.Duration) {
	for at := time.Duration(0); at < length; at += paceTick {
		now := t0.Add(at)
		for next := callsPerSecond * paceTick.Seconds(); next > 0; next-- {
			if m.random.Float64() < next {
				m.arrive(now, at)
			}
		}
		for i, s := range m.servers {
			m.run(s, now, at, m.slowdown(i, at))
		}
		if at%paceExchange == 0 {
			m.exchange(now)
		}
	}
}

func (m *paceModel) arrive(now time.Time, at time.Duration) {
	c := &paceCall{front: m.random.IntN(len(m.fronts)), sentAt: now}
	c.work = time.Duration(float64(paceWork) * math.Exp(0.5*m.random.NormFloat64()))
	choice, refusal := m.choose(now, c.front)
	if refusal != NotRefused {
		return
	}
	c.choice = choice
	for i, s := range m.servers {
		if s.id == choice.Upstream.ID {
			s.queue = append(s.queue, c)
			m.onSent(i, at)
		}
	}
}

func (m *paceModel) choose(now time.Time, front int) (Choice, Refusal) {
	if !m.ideal {
		return m.fronts[front].Choose(now, newPlainRequest())
	}
	least := slices.MinFunc(m.servers, func(a, b *paceServer) int { return a.calls() - b.calls() })
	return Choice{Upstream: catalog.UpstreamRow{Upstream: &catalog.Upstream{ID: least.id}}}, NotRefused
}

func (s *paceServer) calls() int { return len(s.running) + len(s.queue) }

// run works on the calls of a server for one tick.
func (m *paceModel) run(s *paceServer, now time.Time, at time.Duration, slowdown float64) {
	var ended []*paceCall
	rest := s.running[:0]
	for _, c := range s.running {
		if c.work -= time.Duration(float64(paceTick) / slowdown); c.work <= 0 {
			ended = append(ended, c)
		} else {
			rest = append(rest, c)
		}
	}
	s.running = rest
	for len(s.queue) > 0 && len(s.running) < paceSlots {
		s.running, s.queue = append(s.running, s.queue[0]), s.queue[1:]
	}
	for _, c := range ended {
		load := core.NewUpstreamLoad(len(s.running), len(s.queue))
		if m.announce {
			load.Slowdown = slowdown
		}
		m.answer(now, at, s, c, load)
	}
}

func (m *paceModel) answer(now time.Time, at time.Duration, s *paceServer, c *paceCall, load core.UpstreamLoad) {
	placer, took := m.fronts[c.front], now.Sub(c.sentAt)
	placer.RecordReport(now, Report{AttemptID: c.choice.AttemptID, Upstream: s.id, FirstByte: took, Load: load})
	placer.RecordReport(now, Report{AttemptID: c.choice.AttemptID, Upstream: s.id, Final: true, Result: Completed})
	calls, _ := load.Calls()
	m.pending = append(m.pending, paceReport{front: c.front, o: sharing.Observation{
		Upstream: s.id, Load: calls, HasLoad: true, Waiting: load.Waiting, Slowdown: load.Slowdown,
		SlowdownSample: placer.SlowdownSample(now, s.id), ObservedAt: now,
	}})
	m.onAnswer(at, took)
}

// exchange delivers the newest observation of each server to the other fronts.
func (m *paceModel) exchange(now time.Time) {
	newest := make(map[core.UpstreamID]paceReport)
	for _, r := range m.pending {
		newest[r.o.Upstream] = r
	}
	m.pending = m.pending[:0]
	for _, s := range m.servers {
		r, ok := newest[s.id]
		for i, placer := range m.fronts {
			if ok && i != r.front {
				placer.ApplyObservation(now, r.o)
			}
		}
	}
}

const (
	paceSeeds      = 6
	modelAllFronts = 31
)

// Guards against calls to a machine that announces half its pace for 600 ms as if nothing
// had changed, against a machine that gets no calls at all meanwhile, and against one that
// is avoided for long after it has recovered.
func TestBriefSlowdownMovesCalls(t *testing.T) {
	const start, slowFor, known = 5 * time.Second, 600 * time.Millisecond, 200 * time.Millisecond
	const rate = 150 // calls a second, half of what the servers can run
	slow, after := [2]float64{}, [2]float64{}
	for seed := range uint64(paceSeeds) {
		m := newPaceModel(seed, modelAllFronts)
		m.announce = true
		inSlow := func(at time.Duration) bool { return at >= start && (at-start)%(2*time.Second) < slowFor }
		m.slowdown = func(server int, at time.Duration) float64 {
			if server == 0 && inSlow(at) {
				return 2
			}
			return 1
		}
		count := func(counts *[2]float64, server int) {
			counts[1]++
			if server == 0 {
				counts[0]++
			}
		}
		m.onSent = func(server int, at time.Duration) {
			since := (at - start) % (2 * time.Second)
			switch {
			case at < start:
			case since >= known && since < slowFor:
				count(&slow, server)
			case since >= slowFor+known+paceExchange:
				count(&after, server)
			}
		}
		m.play(rate, 25*time.Second)
	}
	t.Logf("share of the slow server %.3f, after it has recovered %.3f", slow[0]/slow[1], after[0]/after[1])
	require.Less(t, slow[0]/slow[1], 1.0/6, "a machine at half its pace gets less than half of an equal share")
	require.Greater(t, slow[0]/slow[1], 0.02)
	require.InDelta(t, 1.0/3, after[0]/after[1], 0.06)
}

// Guards against equal shares for machines that differ by a factor of two all day, whether
// or not they announce it, and against one that gets nothing.
func TestLastingSlowdownMovesCalls(t *testing.T) {
	for _, announce := range []bool{true, false} {
		sent := [3]float64{}
		answers, late := 0, 0
		for seed := range uint64(paceSeeds) {
			m := newPaceModel(seed, modelAllFronts)
			m.announce = announce
			m.slowdown = func(server int, _ time.Duration) float64 {
				if server == 0 {
					return 2
				}
				return 1
			}
			m.onSent = func(server int, at time.Duration) {
				if at > 5*time.Second {
					sent[server]++
				}
			}
			m.onAnswer = func(at, took time.Duration) {
				if at > 5*time.Second {
					answers++
					if took > 3*paceWork {
						late++
					}
				}
			}
			m.play(150, 20*time.Second)
		}
		share := sent[0] / (sent[0] + sent[1] + sent[2])
		t.Logf("announced %t: share of the slow server %.3f, late %.3f", announce, share, float64(late)/float64(answers))
		require.Less(t, share, 1.0/5, "at half the pace at most half of what the others get, announced %t", announce)
		require.Less(t, float64(late)/float64(answers), 0.07, "announced %t", announce)
		require.Greater(t, share, 0.02, "announced %t", announce)
	}
}

// lateShare returns the share of calls that take more than three times the typical time of
// work, with ideal or real placement.
func lateShare(ideal bool, callsPerSecond float64) float64 {
	answers, late := 0, 0
	for seed := range uint64(paceSeeds) {
		m := newPaceModel(seed, modelAllFronts)
		m.ideal = ideal
		m.onAnswer = func(at, took time.Duration) {
			if at < 5*time.Second {
				return
			}
			answers++
			if took > 3*paceWork {
				late++
			}
		}
		m.play(callsPerSecond, 20*time.Second)
	}
	return float64(late) / float64(answers)
}

// Guards against calls that wait at one of three servers with six places each while another
// one has free places, because 31 fronts choose the same server by the same old load.
func TestSixPlacesBeforeManyFronts(t *testing.T) {
	for name, callsPerSecond := range map[string]float64{"two thirds of the places": 175, "three quarters of the places": 200, "five sixths of the places": 220} {
		ideal, late := lateShare(true, callsPerSecond), lateShare(false, callsPerSecond)
		t.Logf("%s: late if all loads were known %.3f, late %.3f", name, ideal, late)
		require.Less(t, late, ideal+0.05, name)
	}
}
