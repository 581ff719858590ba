package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement/links"
	"waxwingtide.example/waxwingtide/sharing"
)

// The model of this file has six stores whose links run one transfer after another, engines
// that read one prompt after another, and fronts with the real placement that exchange the
// use of links and the loads of engines at intervals. Each call has a part of 5,000 tokens
// that is in one store, and is read or fetched.

const (
	linkStores     = 6
	linkEngines    = 56
	linkParts      = 3000
	linkReadRate   = 157 // tokens a millisecond
	linkDecode     = 250 * time.Millisecond
	linkPartTokens = 5000
	// linkCalls is the number of calls a second that want each link for all of the time: a
	// transfer takes 9.1 ms, and twice as long for two thirds of the engines.
	linkCalls = 400
)

// linkModel is a run of the model.
type linkModel struct {
	random  *rand.Rand
	in      Inputs
	fronts  []*Placer
	silent  map[int]bool // fronts that neither send nor receive reports
	links   []time.Time  // the times at which the links of the stores are free
	engines map[core.UpstreamID]*linkEngine
	calls   []linkCall
	loads   []sharing.Observation
	// slowdown returns the slowdown of the link of a store.
	slowdown func(store int, at time.Duration) float64
	waits    []float64 // of transfers, in milliseconds
	firsts   []float64 // times to the first byte, in milliseconds
	read     int
	fetched  int
}

type linkEngine struct {
	readUntil time.Time
	running   int
}

type linkCall struct {
	front        int
	choice       Choice
	sent         time.Time
	readyAt      time.Time // when the engine can read
	reads        int
	first, ended time.Time // zero until the engine reads
	reported     bool
	record       bool
}

func linkPart(i int) cacheindex.Key {
	return cacheindex.Key{Salt: Salt(model, 1, commonScope), ID: core.PartID(fmt.Sprintf("history-%d", i))}
}

func newLinkModel(seed uint64, fronts int) *linkModel {
	m := &linkModel{
		random: rand.New(rand.NewPCG(seed, 2)), in: newInputs(fronts), silent: make(map[int]bool),
		links: make([]time.Time, linkStores), engines: make(map[core.UpstreamID]*linkEngine),
		slowdown: func(int, time.Duration) float64 { return 1 },
	}
	m.in.Upstreams = newUpstreams(engines, linkEngines)
	for _, u := range m.in.Upstreams {
		m.engines[u.ID] = new(linkEngine)
	}
	engine := m.in.Config.Services[engines].Engine
	engine.CacheTokens, engine.TokenBytes, engine.LinkMbps = 64_685, 18_432, 370_000
	m.in.Config.CacheStores = nil
	for i := range linkStores {
		m.in.Config.CacheStores = append(m.in.Config.CacheStores, catalog.CacheStore{
			Address: linkStore(i), Domain: "d1", CapacityTokens: 4_600_000, LinkMbps: 81_000, TransferDelay: 6 * time.Millisecond,
		})
	}
	for i := range fronts {
		opts := options(core.NodeID(fmt.Sprintf("front-%d", i)))
		opts.PrefillTokensPerMs, opts.Domain = linkReadRate, core.FailureDomain(fmt.Sprintf("d%d", i%3))
		placer := New(opts, cacheindex.New())
		placer.SetInputs(t0, m.in)
		m.fronts = append(m.fronts, placer)
	}
	return m
}

func linkStore(i int) string { return fmt.Sprintf("10.9.1.%d:80", i) }

// fill records the content of the stores at all fronts.
func (m *linkModel) fill(now time.Time) {
	for s := range linkStores {
		var parts []cacheindex.CachedPart
		for i := s; i < linkParts; i += linkStores {
			parts = append(parts, cacheindex.CachedPart{Key: linkPart(i), Tokens: linkPartTokens})
		}
		for _, placer := range m.fronts {
			placer.cacheIndex.SetContent(now, linkStore(s), 1, parts)
		}
	}
}

// play runs the model with a number of calls per second and records what happens after a
// time.
func (m *linkModel) play(callsPerSecond float64, length, recordAfter time.Duration) {
	m.fill(t0)
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := t0.Add(at)
		for next := callsPerSecond / 1000; next > 0; next-- {
			if m.random.Float64() < next {
				m.arrive(now, at, at >= recordAfter)
			}
		}
		m.end(now)
		if at%(200*time.Millisecond) == 0 {
			m.exchange(now)
		}
	}
}

func (m *linkModel) arrive(now time.Time, at time.Duration, record bool) {
	front, part := m.random.IntN(len(m.fronts)), m.random.IntN(linkParts)
	prompt := core.Prompt{Model: model, Tokens: linkPartTokens + 1670, MaxOutputTokens: 50, Parts: []core.Part{{ID: linkPart(part).ID, Tokens: linkPartTokens}, {ID: "own", Tokens: 1670}}}
	choice, refusal := m.fronts[front].Choose(now, Request{Service: engines, Prompt: prompt})
	if refusal != NotRefused {
		return
	}
	// Engines keep no part, so that each call needs its own transfer.
	m.fronts[front].upstreams[choice.Upstream.ID].clearCache()
	c := linkCall{front: front, choice: choice, sent: now, readyAt: now, reads: prompt.Tokens, record: record}
	if choice.FetchFrom[0] != "" {
		store := part % linkStores
		ms := float64(linkPartTokens) * 18_432 * 8 / 81e6 * m.slowdown(store, at)
		if choice.Upstream.Domain != "d1" {
			ms *= 2
		}
		start := now
		if m.links[store].After(now) {
			start = m.links[store]
		}
		m.links[store] = start.Add(time.Duration(ms * float64(time.Millisecond)))
		c.readyAt, c.reads = m.links[store].Add(6*time.Millisecond), prompt.Tokens-linkPartTokens
		if record {
			m.waits, m.fetched = append(m.waits, float64(start.Sub(now).Microseconds())/1000), m.fetched+linkPartTokens
		}
	}
	m.engines[choice.Upstream.ID].running++
	m.calls = append(m.calls, c)
}

// start reads a prompt whose transfers have ended behind those that the engine reads.
func (m *linkModel) start(now time.Time, c *linkCall) {
	e := m.engines[c.choice.Upstream.ID]
	if e.readUntil.Before(now) {
		e.readUntil = now
	}
	e.readUntil = e.readUntil.Add(time.Duration(float64(c.reads) / linkReadRate * float64(time.Millisecond)))
	c.first = e.readUntil.Add(30 * time.Millisecond)
	c.ended = c.first.Add(linkDecode)
	if c.record {
		m.read += c.reads
		m.firsts = append(m.firsts, float64(c.first.Sub(c.sent).Microseconds())/1000)
	}
}

// end reports the calls that have begun or ended.
func (m *linkModel) end(now time.Time) {
	rest := m.calls[:0]
	for _, c := range m.calls {
		placer, id := m.fronts[c.front], c.choice.Upstream.ID
		if c.first.IsZero() && !now.Before(c.readyAt) {
			m.start(now, &c)
		}
		if !c.reported && !c.first.IsZero() && !now.Before(c.first) {
			c.reported = true
			load := core.NewUpstreamLoad(m.engines[id].running, 0)
			placer.RecordReport(now, Report{AttemptID: c.choice.AttemptID, Upstream: id, FirstByte: now.Sub(c.sent), Load: load})
			calls, _ := load.Calls()
			m.loads = append(m.loads, sharing.Observation{Upstream: id, Load: calls, HasLoad: true, ObservedAt: now})
		}
		if c.first.IsZero() || now.Before(c.ended) {
			rest = append(rest, c)
			continue
		}
		m.engines[id].running--
		placer.RecordReport(now, Report{AttemptID: c.choice.AttemptID, Upstream: id, Final: true, Result: Completed})
	}
	m.calls = rest
}

// exchange delivers the loads of engines and what the others have observed of links to each
// front.
func (m *linkModel) exchange(now time.Time) {
	own := make([][]links.Delays, len(m.fronts))
	weights := make([]float64, len(m.fronts))
	for i, placer := range m.fronts {
		if !m.silent[i] {
			own[i], weights[i] = placer.LinkDelays(now), 1
		}
	}
	for i, placer := range m.fronts {
		for s := range linkStores {
			placer.cacheIndex.ApplyEvents(now, linkStore(s), 1, nil, nil)
		}
		if m.silent[i] {
			continue
		}
		weights[i] = 0
		placer.ApplyLinkDelays(now, links.Sum(own, weights))
		weights[i] = 1
		for _, o := range m.loads {
			placer.ApplyObservation(now, o)
		}
	}
	m.loads = m.loads[:0]
}

// mean returns the mean of values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
