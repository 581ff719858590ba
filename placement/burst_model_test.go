package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/waitlist"
)

// The model of this file has engines whose memory is used by running calls and by cached
// parts, a kept-cache store, and fronts with the real placement. Engines read prompts and
// generate tokens in turns, so that calls run for longer while prompts are read. A call
// that waits at an engine does not hold the parts that it has fetched.

const (
	modelTick          = 5 * time.Millisecond
	modelEngines       = 4
	modelFronts        = 4
	modelMemory        = 50_000 // tokens of an engine
	modelReadPerTick   = 200    // tokens
	modelTokenTime     = 6 * time.Millisecond
	modelFetchTime     = 20 * time.Millisecond
	modelHistories     = 60
	modelHistoryTokens = 6000
	modelOwnTokens     = 2000
	modelOutput        = 300
	modelTarget        = 600 * time.Millisecond
	modelDeadline      = 10 * modelTarget
	modelCallsPerTick  = 0.036
	modelLength        = 55 * time.Second
	modelFinalPeriod   = 15 * time.Second
	modelSeeds         = 8
	modelRetryInterval = 20 * time.Millisecond
)

// modelCall is a call in the model.
type modelCall struct {
	front     int
	arrivedAt time.Time
	prompt    core.Prompt
	choice    Choice
	fetchedAt time.Time // zero when nothing is being fetched
	unread    float64
	output    float64
	answered  bool
}

func (c *modelCall) memory() int { return callMemory(c.prompt) }

func (c *modelCall) history() cacheindex.Key {
	return cacheindex.Key{Salt: c.choice.Salt, ID: c.prompt.Parts[0].ID}
}

// modelEngine is an engine in the model. cached contains histories, the least recently
// used one first.
type modelEngine struct {
	running, queue []*modelCall
	cached         []cacheindex.Key
}

func (e *modelEngine) used() int {
	used := 0
	for _, c := range e.running {
		used += c.memory()
	}
	return used
}

func (e *modelEngine) touch(key cacheindex.Key) {
	e.cached = slices.DeleteFunc(e.cached, func(k cacheindex.Key) bool { return k == key })
	e.cached = append(e.cached, key)
	e.evict()
}

// evict removes the histories for which running calls leave no memory.
func (e *modelEngine) evict() {
	keep := max(modelMemory-e.used(), 0) / modelHistoryTokens
	e.cached = e.cached[max(len(e.cached)-keep, 0):]
}

// start starts waiting calls in their order.
func (e *modelEngine) start(now time.Time) {
	for _, c := range e.queue {
		if !c.fetchedAt.IsZero() && !now.Before(c.fetchedAt) {
			e.touch(c.history())
			c.fetchedAt = time.Time{}
		}
	}
	for len(e.queue) > 0 && e.queue[0].fetchedAt.IsZero() && e.used()+e.queue[0].memory() <= modelMemory {
		c := e.queue[0]
		e.queue = e.queue[1:]
		c.unread = float64(c.prompt.Tokens)
		if slices.Contains(e.cached, c.history()) {
			c.unread -= modelHistoryTokens
		}
		e.running = append(e.running, c)
		e.evict()
	}
}

// run reads prompts and generates tokens for one tick. It returns the calls whose prompts
// have been read and the calls that have ended.
func (e *modelEngine) run() (read, ended []*modelCall) {
	budget := float64(modelReadPerTick)
	for _, c := range e.running {
		n := min(budget, c.unread)
		budget -= n
		c.unread -= n
	}
	generated := float64(modelTick) / float64(modelTokenTime) * budget / modelReadPerTick
	for _, c := range e.running {
		if c.unread > 0 {
			continue
		}
		if !c.answered {
			c.answered = true
			read = append(read, c)
		}
		c.output -= generated
		if c.output <= 0 {
			ended = append(ended, c)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(c *modelCall) bool { return c.answered && c.output <= 0 })
	return read, ended
}

// burstModel is a run of the model.
type burstModel struct {
	random  *rand.Rand
	placers []*Placer
	waiting []*waitlist.List[*modelCall]
	engines map[core.UpstreamID]*modelEngine
	// arrived and inTime count the calls of the last modelFinalPeriod of the run.
	arrived, inTime int
}

func newBurstModel(seed uint64) *burstModel {
	m := &burstModel{random: rand.New(rand.NewPCG(seed, 1)), engines: make(map[core.UpstreamID]*modelEngine)}
	for i := range modelFronts {
		in := newInputs(modelFronts)
		in.Config.Services[engines].Engine.CacheTokens = modelMemory
		in.Config.CacheStores = []catalog.CacheStore{{Address: storeAddress, Domain: "d0", CapacityTokens: 1_000_000, LinkMbps: 200_000}}
		in.Upstreams = in.Upstreams[:modelEngines]
		placer := New(options(core.NodeID(fmt.Sprintf("front-%d", i))), cacheindex.New())
		placer.SetInputs(t0, in)
		placer.cacheIndex.SetContent(t0, storeAddress, 1, nil)
		m.placers = append(m.placers, placer)
		m.waiting = append(m.waiting, waitlist.New[*modelCall](100))
		for _, u := range in.Upstreams {
			m.engines[u.ID] = &modelEngine{}
		}
	}
	return m
}

// play plays the model with a burst of calls from 10 s to 16 s after the start, and
// returns the share of the calls at the end that are answered in time.
func (m *burstModel) play(burst float64) float64 {
	start := t0.Add(time.Minute)
	for at := time.Duration(0); at < modelLength; at += modelTick {
		now := start.Add(at)
		rate := modelCallsPerTick
		if at >= 10*time.Second && at < 16*time.Second {
			rate *= burst
		}
		for m.random.Float64() < rate {
			m.arrive(now, at)
			rate--
		}
		if at%modelRetryInterval == 0 {
			m.retry(now)
		}
		m.runEngines(now, at)
	}
	return float64(m.inTime) / float64(m.arrived)
}

func (m *burstModel) arrive(now time.Time, at time.Duration) {
	if inFinalPeriod(at) {
		m.arrived++
	}
	history := core.Part{ID: core.PartID(fmt.Sprintf("h%d", m.random.IntN(modelHistories))), Tokens: modelHistoryTokens}
	prompt := core.Prompt{Model: model, Tokens: modelHistoryTokens + modelOwnTokens, MaxOutputTokens: modelOutput, Parts: []core.Part{history, {ID: "own", Tokens: modelOwnTokens}}}
	c := &modelCall{front: m.random.IntN(modelFronts), arrivedAt: now, prompt: prompt, output: modelOutput}
	if !m.place(now, c, 0) {
		m.waiting[c.front].Add(now, waitlist.Call[*modelCall]{
			Value: c, Tokens: callMemory(prompt), Since: now, Until: now.Add(modelTarget * 6 / 10), Deadline: now.Add(modelDeadline),
		})
	}
}

// place sends a call to an engine, or returns false if it has to wait.
func (m *burstModel) place(now time.Time, c *modelCall, waitedShare float64) bool {
	choice, refusal := m.placers[c.front].Choose(now, Request{Service: engines, Prompt: c.prompt, WaitedShare: waitedShare})
	if refusal != NotRefused {
		return false
	}
	c.choice = choice
	if choice.FetchFrom[0] != "" {
		c.fetchedAt = now.Add(modelFetchTime)
	}
	e := m.engines[choice.Upstream.ID]
	e.queue = append(e.queue, c)
	return true
}

// retry places waiting calls. Those that have waited too long are refused.
func (m *burstModel) retry(now time.Time) {
	for i, list := range m.waiting {
		list.TakeExpired(now)
		list.Try(now, list.Len(), func(c waitlist.Call[*modelCall]) bool { return m.place(now, c.Value, c.WaitedShare(now)) })
		m.placers[i].cacheIndex.ApplyEvents(now, storeAddress, 1, nil, nil)
	}
}

func (m *burstModel) runEngines(now time.Time, at time.Duration) {
	for _, u := range m.placers[0].byService[engines] {
		e := m.engines[u.row.ID]
		e.start(now)
		read, ended := e.run()
		for _, c := range read {
			m.answer(now, at, e, c)
		}
		for _, c := range ended {
			m.placers[c.front].RecordReport(now, Report{AttemptID: c.choice.AttemptID, Upstream: u.row.ID, Final: true, Result: Completed})
		}
	}
}

// answer reports the first byte of a call, and that its history is kept.
func (m *burstModel) answer(now time.Time, at time.Duration, e *modelEngine, c *modelCall) {
	e.touch(c.history())
	m.placers[c.front].RecordReport(now, Report{
		AttemptID: c.choice.AttemptID, Upstream: c.choice.Upstream.ID, FirstByte: now.Sub(c.arrivedAt), Load: core.NewUpstreamLoad(len(e.running), len(e.queue)),
	})
	kept := []cacheindex.CachedPart{{Key: c.history(), Tokens: modelHistoryTokens}}
	for _, placer := range m.placers {
		placer.cacheIndex.ApplyEvents(now, storeAddress, 1, kept, nil)
	}
	if took := now.Sub(c.arrivedAt); took <= modelTarget && inFinalPeriod(at-took) {
		m.inTime++
	}
}

// inFinalPeriod reports whether calls that arrive at a time are counted.
func inFinalPeriod(at time.Duration) bool {
	return at >= modelLength-modelFinalPeriod && at < modelLength-modelTarget
}

// meanShare returns the mean result of play over the seeds.
func meanShare(burst float64) float64 {
	total := 0.0
	for seed := range uint64(modelSeeds) {
		total += newBurstModel(seed).play(burst)
	}
	return total / modelSeeds
}

// Guards against engines that stay late after a short burst at their ordinary load, a
// metastable failure: running calls fill the memory, so that parts which waiting calls
// have fetched are evicted, prompts are read again, and calls run for longer and fill the
// memory.
func TestEnginesRecoverFromBurst(t *testing.T) {
	calm := meanShare(1)
	for _, burst := range []float64{1.4, 1.8, 2.5} {
		require.GreaterOrEqual(t, meanShare(burst), calm-0.05, "after a burst of %.1f", burst)
	}
}
