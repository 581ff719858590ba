package route_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/dispatch"
	"waxwingtide.example/waxwingtide/route"
)

// workload describes a seeded stream of repeated prompts in simulated time.
type workload struct {
	name              string
	upstreams         int
	cacheBlocks       int // capacity of the cache of an upstream
	sessions          int
	sharedBlocks      int // leading blocks that are common to all sessions
	meanHistoryBlocks int // mean number of blocks of a session's history
	callsPerSecond    float64
	calls             int
	keptCache         bool // finished prompts are exported to the kept-cache store
	deferrableShare   float64
	publishKeys       bool          // agents publish the keys of finished prompts
	hintCapacity      int           // capacity of the hint directory, 0 for the default
	deferrableDecode  time.Duration // decode time of deferrable calls, 0 for simDecodeTime
	// restartedEngines is the number of engines that restart cold after
	// simRestartAfter. A cold engine fails runs above a limit that starts at 1 and
	// grows by 1 per second.
	restartedEngines int
	admission
}

// Parameters of the simulated upstreams, similar to those of the stand-in engines.
const (
	simEntries           = 3
	simPrefillRate       = 400_000.0
	simLinkRate          = 40e6
	simKeptBytesPerBlock = 20_000
	simDecodeTime        = 300 * time.Millisecond
	simWindow            = 8
	simPublishInterval   = 100 * time.Millisecond
)

// admission configures how agents limit the load of an engine.
type admission struct {
	startWindow     int  // initial window
	growthResponses int  // successful responses per increment of the window, 0 for the default
	silentRestart   bool // the agent is not notified of the restart
	ignoreCredits   bool // entries ignore credits
}

var simPool = dispatch.Pool{Model: scope.Model, Version: scope.Version}

const simRestartAfter = 20 * time.Second

type event struct {
	at     time.Time
	action func()
}

// simCall is one call in progress.
type simCall struct {
	route.Request
	id            core.AttemptID
	entry         int
	arrivedAt     time.Time
	choice        route.Choice
	runGeneration int // changes at each start and preemption, so that the scheduled end of a preempted run is ignored
}

type simUpstream struct {
	id    core.UpstreamID
	admit *admit.Controller
	cache *lru.LRU[uint64, struct{}]
	// linkFreeAt and prefillFreeAt are the times at which the link and the
	// accelerator complete their queued work.
	linkFreeAt, prefillFreeAt time.Time
	unpublishedKeys           [simEntries][]uint64 // keys to be published to each entry
	restartedAt               time.Time
	running                   int
}

// report contains the results of one simulation.
type report struct {
	urgent, deferrable                          []time.Duration // times to first token
	promptBytes, recomputedBytes, importedBytes float64
	firstSeenBytes                              float64 // prompt bytes that no upstream has computed before
	rejected, failed, preempted                 int
}

func (r *report) reportMetrics(b *testing.B) {
	b.ReportMetric(float64(quantile(r.urgent, 0.5).Milliseconds()), "urgent-p50-ms")
	b.ReportMetric(float64(quantile(r.urgent, 0.95).Milliseconds()), "urgent-p95-ms")
	b.ReportMetric(float64(quantile(r.deferrable, 0.95).Milliseconds()), "deferrable-p95-ms")
	b.ReportMetric(math.Round(1000*r.recomputedBytes/r.promptBytes)/10, "recomputed-%")
	b.ReportMetric(math.Round(1000*r.firstSeenBytes/r.promptBytes)/10, "unseen-%")
	b.ReportMetric(math.Round(r.importedBytes/1e7)/100, "imported-GB")
	b.ReportMetric(float64(r.rejected), "rejected")
	b.ReportMetric(float64(r.failed), "failed")
	b.ReportMetric(float64(r.preempted), "preempted")
}

type sim struct {
	workload
	now          time.Time
	events       []event // sorted by time
	finished     int
	random       *rand.Rand
	upstreams    []*simUpstream
	tables       []*route.Table
	dispatch     [simEntries]*dispatch.Queue[*simCall]
	calls        map[core.AttemptID]*simCall
	keptCache    map[uint64]bool // keys of the blocks in the kept-cache store
	computedKeys map[uint64]bool
	report       report
}

func simulate(w workload, policy route.Policy) report {
	s := &sim{workload: w, now: start, random: seededRand(7), calls: map[core.AttemptID]*simCall{}, keptCache: map[uint64]bool{}, computedKeys: map[uint64]bool{}}
	opts := route.DefaultOptions(simKeptBytesPerBlock)
	opts.Policy = policy
	if w.hintCapacity > 0 {
		opts.HintCapacity = w.hintCapacity
	}
	for e := range simEntries {
		s.tables = append(s.tables, route.New(opts, seededRand(uint64(e))))
		s.dispatch[e] = dispatch.New(w.calls, func(_ time.Time, c *dispatch.Call[*simCall]) bool { return s.send(c.Value) })
		s.tables[e].SetEntryCount(simEntries)
		s.tables[e].SetUpstreams(listUpstreams(w.upstreams, "v1"))
	}
	for i := range w.upstreams {
		limits := admit.Defaults(simWindow, 1)
		limits.InitialWindow = simWindow
		if w.startWindow > 0 {
			limits.InitialWindow = w.startWindow
		}
		if w.growthResponses > 0 {
			limits.GrowthResponses = w.growthResponses
		}
		cache, _ := lru.NewLRU[uint64, struct{}](w.cacheBlocks, nil)
		u := &simUpstream{id: upstream(i), admit: admit.New(limits), cache: cache}
		s.upstreams = append(s.upstreams, u)
		s.schedule(0, func() { s.publish(u) })
		if i < w.restartedEngines {
			s.schedule(simRestartAfter, func() { s.restart(u) })
		}
	}
	s.arrive(0)
	for len(s.events) > 0 && s.finished < w.calls {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.action()
	}
	return s.report
}

func (s *sim) schedule(d time.Duration, action func()) {
	at := s.now.Add(d)
	i := len(s.events)
	for i > 0 && s.events[i-1].at.After(at) {
		i--
	}
	s.events = slices.Insert(s.events, i, event{at, action})
}

// arrive creates call n and schedules the next one.
func (s *sim) arrive(n int) {
	if n == s.workload.calls {
		return
	}
	session := int(float64(s.sessions) * math.Pow(s.random.Float64(), 2)) // some sessions recur more often
	length := s.sharedBlocks + 1 + int(rand.New(rand.NewPCG(uint64(session), 1)).ExpFloat64()*float64(s.meanHistoryBlocks)) + n*4/s.workload.calls
	c := &simCall{id: core.AttemptID(fmt.Sprint(n)), entry: s.random.IntN(simEntries), arrivedAt: s.now}
	c.Request = route.Request{Scope: scope, Blocks: s.blocks(session, length), PromptBytes: length*core.BlockBytes + 100}
	if s.random.Float64() < s.deferrableShare {
		c.Class = core.Deferrable
	}
	s.calls[c.id] = c
	s.offer(c)
	s.schedule(time.Duration(s.random.ExpFloat64()/s.callsPerSecond*1e9), func() { s.arrive(n + 1) })
}

func (s *sim) blocks(session, n int) []core.BlockKey {
	keys := make([]core.BlockKey, n)
	for i := range keys {
		keySpace := uint64(session + 1)
		if i < s.sharedBlocks {
			keySpace = 0
		}
		binary.BigEndian.PutUint64(keys[i][:], (keySpace<<20|uint64(i)+1)*0x9e3779b97f4a7c15)
	}
	return keys
}

func shortKey(k core.BlockKey) uint64 { return binary.BigEndian.Uint64(k[:8]) }

func (s *sim) offer(c *simCall) {
	s.dispatch[c.entry].Offer(s.now, dispatch.Call[*simCall]{ID: c.id, Class: c.Class, Pool: simPool, Value: c})
}

// send sends a call to the chosen upstream and returns false if there is none.
func (s *sim) send(c *simCall) bool {
	choice, refusal := s.tables[c.entry].Choose(s.now, &c.Request)
	if refusal != route.RefusalNone {
		return false
	}
	c.choice = choice
	u := s.upstreams[slices.IndexFunc(s.upstreams, func(u *simUpstream) bool { return u.id == choice.Upstream })]
	s.schedule(3*time.Millisecond, func() {
		d := u.admit.Offer(s.now, admit.Call{ID: c.id, Class: c.Class, Watcher: core.NodeID(fmt.Sprint(c.entry)), Incarnation: 1})
		switch d.Verdict {
		case admit.VerdictStarted:
			s.startRun(u, c)
		case admit.VerdictRejected:
			s.retryRejected(c.id)
		}
		s.apply(u, d.Effects)
	})
	return true
}

func (s *sim) retryRejected(id core.AttemptID) {
	s.report.rejected++
	s.schedule(10*time.Millisecond, func() { s.offer(s.calls[id]) })
}

func (s *sim) apply(u *simUpstream, e admit.Effects) {
	for _, id := range e.Started {
		s.startRun(u, s.calls[id])
	}
	for _, r := range e.Rejected {
		s.retryRejected(r.ID)
	}
	for _, id := range e.ToCancel {
		s.report.preempted++
		s.calls[id].runGeneration++
		s.schedule(time.Millisecond, func() {
			u.running--
			s.apply(u, u.admit.Finish(s.now, id, admit.Sample{Result: admit.ResultCancelled}))
			s.offer(s.calls[id])
		})
	}
}

// countFirstSeen returns the number of prompt bytes that every policy has to
// compute, because no upstream has computed them before.
func (s *sim) countFirstSeen(c *simCall) float64 {
	n := float64(c.PromptBytes - len(c.Blocks)*core.BlockBytes)
	for _, k := range c.Blocks {
		if !s.computedKeys[shortKey(k)] {
			n += core.BlockBytes
		}
		s.computedKeys[shortKey(k)] = true
	}
	return n
}

// startRun simulates the run of a call: import or recomputation, then the first
// token, then the rest of the response.
func (s *sim) startRun(u *simUpstream, c *simCall) {
	c.runGeneration++
	generation := c.runGeneration
	u.running++
	if u.running > u.runLimit(s.now) {
		s.report.failed++
		s.schedule(50*time.Millisecond, func() {
			if c.runGeneration == generation {
				u.running--
				s.apply(u, u.admit.Finish(s.now, c.id, admit.Sample{Result: admit.ResultFailed}))
				s.offer(c)
			}
		})
		return
	}
	cached, kept := 0, 0
	for cached < len(c.Blocks) && u.cache.Contains(shortKey(c.Blocks[cached])) {
		cached++
	}
	for kept < len(c.Blocks) && s.keptCache[shortKey(c.Blocks[kept])] {
		kept++
	}
	prefillStart := s.now
	available := cached
	if c.choice.ImportKeptCache && kept > cached {
		size := float64((kept - cached) * simKeptBytesPerBlock)
		prefillStart = later(prefillStart, u.linkFreeAt).Add(time.Duration(size / simLinkRate * 1e9))
		u.linkFreeAt = prefillStart
		s.report.importedBytes += size
		available = kept
	}
	recomputed := float64(c.PromptBytes - available*core.BlockBytes)
	s.report.promptBytes += float64(c.PromptBytes)
	s.report.recomputedBytes += recomputed
	s.report.firstSeenBytes += s.countFirstSeen(c)
	u.prefillFreeAt = later(prefillStart, u.prefillFreeAt).Add(time.Duration(recomputed / simPrefillRate * 1e9))
	firstToken := u.prefillFreeAt.Sub(s.now)
	decode := simDecodeTime
	if c.Class == core.Deferrable && s.deferrableDecode > 0 {
		decode = s.deferrableDecode
	}
	s.schedule(firstToken+decode, func() { s.finish(u, c, generation, cached, firstToken, int(recomputed)) })
	if s.restartedEngines > 0 && s.now.Sub(start) < simRestartAfter { // the report excludes times before the restart
		return
	}
	if c.Class == core.Urgent {
		s.report.urgent = append(s.report.urgent, s.now.Add(firstToken).Sub(c.arrivedAt))
	} else {
		s.report.deferrable = append(s.report.deferrable, s.now.Add(firstToken).Sub(c.arrivedAt))
	}
}

func (s *sim) finish(u *simUpstream, c *simCall, generation, cached int, firstToken time.Duration, computedBytes int) {
	if c.runGeneration != generation {
		return
	}
	s.finished++
	u.running--
	s.dispatch[c.entry].Remove(c.id)
	for i := len(c.Blocks) - 1; i >= 0; i-- { // so that the first blocks are evicted last
		u.cache.Add(shortKey(c.Blocks[i]), struct{}{})
	}
	if s.publishKeys {
		route.VisitRecordedDepths(len(c.Blocks), cached, func(depth int) {
			for e := range u.unpublishedKeys {
				u.unpublishedKeys[e] = append(u.unpublishedKeys[e], shortKey(c.Blocks[depth-1]))
			}
		})
	}
	result := route.RunResult{Upstream: u.id, Incarnation: 1, Blocks: c.Blocks, HeldBlocks: len(c.Blocks),
		HintedBlocks: c.choice.HintedBlocks, HintAge: c.choice.HintAge, ReusedBlocks: cached}
	s.tables[c.entry].RecordRun(s.now, result)
	if s.workload.keptCache {
		s.tables[c.entry].RecordKeptBlocks(s.now, c.Blocks, len(c.Blocks))
		for _, k := range c.Blocks {
			s.keptCache[shortKey(k)] = true
		}
	}
	s.apply(u, u.admit.Finish(s.now, c.id, admit.Sample{TimeToFirstToken: firstToken, ComputedBytes: computedBytes}))
}

// restart simulates the restart of an engine with an empty cache.
func (s *sim) restart(u *simUpstream) {
	u.restartedAt = s.now
	u.cache.Purge()
	if !s.silentRestart {
		u.admit.Reset(admit.ResetEngineRestart)
	}
}

// runLimit returns the number of concurrent runs that the engine can handle.
func (u *simUpstream) runLimit(now time.Time) int {
	if u.restartedAt.IsZero() {
		return simWindow
	}
	return min(simWindow, 1+int(now.Sub(u.restartedAt).Seconds()))
}

// publish sends the state of an upstream to the entries, which assign its credits
// to their waiting calls.
func (s *sim) publish(u *simUpstream) {
	state := u.admit.State(s.now)
	for e, table := range s.tables {
		credit := u.admit.GrantCredits(s.now, core.NodeID(fmt.Sprint(e)))
		if s.ignoreCredits {
			credit.Count, credit.UrgentOnly = math.MaxInt32, 0
		}
		table.RecordState(s.now, route.State{
			Upstream: u.id, Incarnation: 1, Credits: credit.Count, UrgentCredits: credit.UrgentOnly,
			CreditExpiry: credit.ExpiresAt, Window: state.Window, Running: state.Running, Queued: state.Queued,
			QueueDelay: state.UrgentDelay, PrefillRate: simPrefillRate, LinkRate: simLinkRate,
			StoredKeys: u.unpublishedKeys[e],
		})
		u.unpublishedKeys[e] = nil
		s.dispatch[e].PlaceWaiting(s.now, simPool, credit.Count)
	}
	s.schedule(simPublishInterval, func() { s.publish(u) })
}

// Guards against a restarted engine that receives the load of a warm one. This
// includes a restart that the agent can detect only from failed runs.
func TestRestartedEnginesRampUp(t *testing.T) {
	w := longHistories
	w.calls, w.publishKeys, w.restartedEngines, w.startWindow = 4000, true, 4, 1
	restartReport := simulate(w, route.Combined)
	w.silentRestart = true
	silentRestartReport := simulate(w, route.Combined)
	w.startWindow = simWindow
	silentFullWindowReport := simulate(w, route.Combined)
	require.Zero(t, restartReport.failed)
	require.Less(t, silentRestartReport.failed, silentFullWindowReport.failed)
}

// BenchmarkAdmission compares admission variants in three separate workloads: cold
// restarts of four of twelve engines, more load than the windows admit, and long
// deferrable runs. Run it with -benchtime 1x.
func BenchmarkAdmission(b *testing.B) {
	restart, overload := longHistories, sharedPrefix
	restart.name, restart.restartedEngines = "restart", 4
	overload.name, overload.callsPerSecond, overload.calls = "overload", 320, 6000
	longDeferrable := sharedPrefix
	longDeferrable.name, longDeferrable.callsPerSecond, longDeferrable.deferrableDecode = "summaries", 120, 4*time.Second
	variants := []struct {
		name string
		admission
	}{
		{"fixed", admission{startWindow: simWindow}},
		{"fixed-free", admission{startWindow: simWindow, ignoreCredits: true}},
		{"half-silent", admission{startWindow: 4, silentRestart: true}},
		{"ramp-grow1", admission{startWindow: 1, growthResponses: 1}},
		{"ramp-grow2", admission{startWindow: 1, growthResponses: 2}},
		{"ramp", admission{startWindow: 1}},
		{"ramp-silent", admission{startWindow: 1, silentRestart: true}},
		{"ramp-free", admission{startWindow: 1, ignoreCredits: true}},
	}
	for _, w := range []workload{restart, overload, longDeferrable} {
		for _, variant := range variants {
			b.Run(w.name+"/"+variant.name, func(b *testing.B) {
				w := w
				w.publishKeys, w.admission = true, variant.admission
				var r report
				for b.Loop() {
					r = simulate(w, route.Combined)
				}
				r.reportMetrics(b)
			})
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))].Round(time.Millisecond)
}

var (
	longHistories = workload{name: "long", upstreams: 12, cacheBlocks: 4000, sessions: 600, meanHistoryBlocks: 100, callsPerSecond: 90, calls: 8000, deferrableShare: 0.2}
	keptHistories = workload{name: "kept", upstreams: 12, cacheBlocks: 4000, sessions: 600, meanHistoryBlocks: 100, callsPerSecond: 90, calls: 8000, deferrableShare: 0.2, keptCache: true}
	fewHints      = workload{name: "few-hints", upstreams: 12, cacheBlocks: 4000, sessions: 600, meanHistoryBlocks: 100, callsPerSecond: 90, calls: 8000, deferrableShare: 0.2, hintCapacity: 1024}
	manyUpstreams = workload{name: "many", upstreams: 100, cacheBlocks: 4000, sessions: 5000, meanHistoryBlocks: 100, callsPerSecond: 750, calls: 20000, deferrableShare: 0.2}
	sharedPrefix  = workload{name: "handbook", upstreams: 12, cacheBlocks: 1000, sessions: 600, sharedBlocks: 60, meanHistoryBlocks: 3, callsPerSecond: 180, calls: 8000, deferrableShare: 0.2}
	workloads     = []workload{longHistories, keptHistories, fewHints, manyUpstreams, sharedPrefix}
	policies      = []route.Policy{route.Combined, route.LeastLoaded, route.AffinityOnly, route.DirectoryOnly}
)

// Guards against a regression in which the Combined policy recomputes more bytes
// of repeated prompts, or has a higher time to first token, than LeastLoaded.
func TestPoliciesOnRepeatedPrompts(t *testing.T) {
	for _, w := range []workload{longHistories, keptHistories, sharedPrefix} {
		w.calls = 2000
		w.publishKeys = true
		combined, baseline := simulate(w, route.Combined), simulate(w, route.LeastLoaded)
		require.Less(t, combined.recomputedBytes, baseline.recomputedBytes, w.name)
		require.Less(t, quantile(combined.urgent, 0.95), quantile(baseline.urgent, 0.95), w.name)
	}
}

// BenchmarkPolicies produces the figures of docs/measurements.md. Run it with
// -benchtime 1x. The figures are in simulated time and are the same on every run.
func BenchmarkPolicies(b *testing.B) {
	for _, w := range workloads {
		for _, published := range []bool{false, true} {
			w.publishKeys = published
			for _, policy := range policies {
				b.Run(fmt.Sprintf("%s/published=%v/%s", w.name, published, policy), func(b *testing.B) {
					var r report
					for b.Loop() {
						r = simulate(w, policy)
					}
					r.reportMetrics(b)
				})
			}
		}
	}
}
