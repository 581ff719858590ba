package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/sharing"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
)

// The model of this file has fronts with real routers, engines that start calls in their order
// while they have memory, and a board through which the fronts know the calls of each other.

const (
	overloadFronts  = 6
	overloadEngines = 4
	overloadMemory  = 12_000 // tokens of an engine
	overloadRun     = 200 * time.Millisecond
	overloadTick    = 5 * time.Millisecond
	// overloadCapacity is the work that all engines complete, in tokens a second.
	overloadCapacity = overloadEngines * overloadMemory * float64(time.Second) / float64(overloadRun)
	urgentTarget     = 250 * time.Millisecond
	patientTarget    = time.Second
	// overloadExchange is the age of what fronts know of each other.
	overloadExchange = 200 * time.Millisecond
)

// load is a sequence of calls of one workspace.
type load struct {
	workspace core.WorkspaceID
	priority  int
	tokens    int
	fronts    []int
	// share is the share of overloadCapacity that the calls need from one time to another.
	share    float64
	from, to time.Duration
	// returns is set if callers return after a refusal, until their deadline.
	returns bool
	// run is the time for which the calls use their memory. The default is overloadRun.
	run time.Duration
	// wait is the time for which the calls may wait. The default is that of the gateway.
	wait time.Duration
}

func (l load) target() time.Duration {
	if l.priority == 0 {
		return urgentTarget
	}
	return patientTarget
}

type overloadCall struct {
	load      *load
	front     int
	at        time.Time
	deadline  time.Time
	reply     *ring.Ring[placementResult]
	placement placementResult
	endsAt    time.Time
	// returnsAt is when the caller returns after a refusal.
	returnsAt time.Time
}

type overloadEngine struct {
	queue, running []*overloadCall
	used           int
}

// overloadCount counts the calls of a load, the work that was answered in time included.
type overloadCount struct {
	calls, inTime, refused int
	// returned counts how often callers have returned.
	returned int
}

func (c overloadCount) share() float64 { return float64(c.inTime) / float64(max(c.calls, 1)) }

type overloadModel struct {
	random    *rand.Rand
	routers   []*router
	engines   map[core.UpstreamID]*overloadEngine
	engineIDs []core.UpstreamID
	pending   []*overloadCall
	board     *backlog.Board
	// silent fronts exchange nothing, frozen ones do nothing, and those with noCalls get no
	// new calls.
	silent, frozen, noCalls map[int]bool
	counts                  map[*load]*overloadCount
	// returning are the calls whose callers return.
	returning []*overloadCall
	// busy is the sum of the used memory over all ticks.
	busy float64
}

func newOverloadModel() *overloadModel {
	m := &overloadModel{
		random: rand.New(rand.NewPCG(7, 7)), engines: make(map[core.UpstreamID]*overloadEngine), board: backlog.NewBoard(),
		silent: make(map[int]bool), frozen: make(map[int]bool), noCalls: make(map[int]bool), counts: make(map[*load]*overloadCount),
	}
	engine := &catalog.Engine{Slots: 64, CacheTokens: overloadMemory, Models: []core.ModelID{"m"}}
	config := &catalog.Config{Services: map[core.ServiceID]*catalog.Service{testService: {ID: testService, Engine: engine}}}
	inputs := placement.Inputs{Config: config.Index()}
	for i := range overloadEngines {
		m.engineIDs = append(m.engineIDs, core.UpstreamID(fmt.Sprintf("e-%d", i)))
		m.engines[m.engineIDs[i]] = new(overloadEngine)
		inputs.Upstreams = append(inputs.Upstreams, catalog.UpstreamRow{Upstream: &catalog.Upstream{ID: m.engineIDs[i], Service: testService, Slots: 64, Weights: map[core.ModelID]catalog.WeightNumber{"m": 1}}})
	}
	for i := range overloadFronts {
		inputs.Fronts = append(inputs.Fronts, core.NodeID(fmt.Sprintf("f-%d", i)))
	}
	for range overloadFronts {
		r := newTestRouter(rand.New(rand.NewPCG(uint64(len(m.routers)), 1)).Float64, m.engineIDs...)
		r.placer.SetOptions(placement.Options{RetryWindow: time.Second, PrefillTokensPerMs: 1000})
		r.placer.SetInputs(time.Now(), inputs)
		m.routers = append(m.routers, r)
	}
	return m
}

// play plays the loads for a time.
func (m *overloadModel) play(duration time.Duration, loads ...*load) {
	start := time.Now()
	for _, l := range loads {
		if m.counts[l] == nil {
			m.counts[l] = new(overloadCount)
		}
	}
	for at := time.Duration(0); at < duration; at += overloadTick {
		for _, l := range loads {
			if at >= l.from && at < l.to {
				m.arrive(l)
			}
		}
		m.returnCallers()
		for i, r := range m.routers {
			if !m.frozen[i] {
				r.handlePending()
			}
		}
		m.send()
		m.runEngines()
		if at%overloadExchange == 0 {
			m.exchange()
		}
		time.Sleep(time.Until(start.Add(at + overloadTick)))
	}
}

func (m *overloadModel) arrive(l *load) {
	for rate := l.share * overloadCapacity * overloadTick.Seconds() / float64(l.tokens); m.random.Float64() < rate; rate-- {
		c := &overloadCall{load: l, front: l.fronts[m.random.IntN(len(l.fronts))], at: time.Now(), deadline: time.Now().Add(10 * l.target())}
		if m.noCalls[c.front] || m.frozen[c.front] {
			continue
		}
		m.counts[l].calls++
		m.request(c)
	}
}

// request requests the placement of a call.
func (m *overloadModel) request(c *overloadCall) {
	l := c.load
	c.reply = ring.New[placementResult](1)
	prompt := core.Prompt{Model: "m", Tokens: l.tokens, Parts: []core.Part{{ID: core.PartID(fmt.Sprint(m.counts[l].calls, l.workspace)), Tokens: l.tokens}}}
	request := placement.Request{Service: testService, Prompt: prompt, Workspace: &catalog.Workspace{ID: l.workspace}}
	wait := cmp.Or(l.wait, time.Duration(memoryWaitShare*float64(l.target())))
	m.routers[c.front].placeRequests.Offer(placeRequest{req: request, priority: l.priority, waitUntil: time.Now().Add(wait), deadline: c.deadline, reply: c.reply})
	m.pending = append(m.pending, c)
}

// returnCallers requests the placement of refused calls whose callers return, at any front of
// the load.
func (m *overloadModel) returnCallers() {
	var left []*overloadCall
	for _, c := range m.returning {
		if time.Now().Before(c.returnsAt) {
			left = append(left, c)
			continue
		}
		c.front = c.load.fronts[m.random.IntN(len(c.load.fronts))]
		m.counts[c.load].returned++
		m.request(c)
	}
	m.returning = left
}

// refuse records a refusal.
func (m *overloadModel) refuse(c *overloadCall, retryAfter time.Duration) {
	m.counts[c.load].refused++
	c.returnsAt = time.Now().Add(retryAfter)
	if c.load.returns && c.returnsAt.Before(c.deadline) {
		m.returning = append(m.returning, c)
	}
}

// send sends the calls that have been placed.
func (m *overloadModel) send() {
	var left []*overloadCall
	for _, c := range m.pending {
		p, ok := c.reply.TryReceive()
		switch {
		case !ok:
			left = append(left, c)
		case p.refusal != placement.NotRefused:
			m.refuse(c, p.retryAfter)
		default:
			c.placement = p
			e := m.engines[p.choice.Upstream.ID]
			e.queue = append(e.queue, c)
		}
	}
	m.pending = left
}

func (m *overloadModel) runEngines() {
	now := time.Now()
	for _, id := range m.engineIDs {
		e := m.engines[id]
		var running []*overloadCall
		for _, c := range e.running {
			if now.Before(c.endsAt) {
				running = append(running, c)
				continue
			}
			e.used -= c.load.tokens
			m.report(c, placement.Report{Final: true, Result: placement.Completed})
		}
		e.running = running
		for len(e.queue) > 0 && e.used+e.queue[0].load.tokens <= overloadMemory {
			c := e.queue[0]
			e.queue = e.queue[1:]
			c.endsAt = now.Add(cmp.Or(c.load.run, overloadRun))
			e.used += c.load.tokens
			e.running = append(e.running, c)
			if now.Sub(c.at) <= c.load.target() {
				m.counts[c.load].inTime++
			}
			m.report(c, placement.Report{FirstByte: max(now.Sub(c.at), time.Millisecond), Load: core.NewUpstreamLoad(len(e.running), len(e.queue))})
		}
		m.busy += float64(e.used)
	}
}

// report sends the report of a call to its front, and the load in it to all fronts.
func (m *overloadModel) report(c *overloadCall, report placement.Report) {
	report.AttemptID, report.Upstream = c.placement.choice.AttemptID, c.placement.choice.Upstream.ID
	m.routers[c.front].reports.Offer(attemptReport{Report: report})
}

// exchange passes on the summaries of the fronts and the loads of the engines.
func (m *overloadModel) exchange() {
	now := time.Now()
	for i, r := range m.routers {
		if !m.silent[i] && !m.frozen[i] {
			r.publishSummary(now)
			m.board.Put(now, core.NodeID(fmt.Sprint(i)), r.waiting.list.Summary(now))
		}
	}
	for i, r := range m.routers {
		for _, id := range m.engineIDs {
			e := m.engines[id]
			r.placer.ApplyObservation(now, sharing.Observation{
				Upstream: id, HasLoad: true, Load: len(e.running) + len(e.queue), Waiting: len(e.queue), ObservedAt: now,
			})
		}
		if !m.silent[i] && !m.frozen[i] {
			r.applyOthers(now, m.board.Others(now, core.NodeID(fmt.Sprint(i))))
		}
	}
}

func allFronts() []int {
	fronts := make([]int, overloadFronts)
	for i := range fronts {
		fronts[i] = i
	}
	return fronts
}
