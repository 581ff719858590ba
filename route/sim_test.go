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

// workload is a seeded stream of returning prompts in simulated time.
type workload struct {
	name       string
	upstreams  int
	cache      int // blocks that an upstream holds
	sessions   int
	shared     int // first blocks that all sessions have in common
	history    int // mean blocks of a session's own history
	perSecond  float64
	calls      int
	kept       bool // finished prompts are in the kept-cache store
	deferrable float64
	published  bool          // agents publish the keys of finished prompts
	hints      int           // entries of the directory, 0 for the default
	summaries  time.Duration // decoding time of deferrable answers, if not simDecode
	// restarts is how many engines turn cold after simRestart. A cold engine
	// fails runs over a limit that starts at 1 and grows by 1 a second.
	restarts int
	admission
}

// Rates of the simulated upstreams, near those of the stand-ins.
const (
	simEntries  = 3
	simPrefill  = 400_000.0
	simLink     = 40e6
	simBlock    = 20_000
	simDecode   = 300 * time.Millisecond
	simWindow   = 8
	simInterval = 100 * time.Millisecond
)

// admission is how agents limit the load of an engine.
type admission struct {
	start  int  // first window
	grow   int  // good replies for one step of the window, 0 for the default
	silent bool // the restart is not reported
	free   bool // entries send without regard to credits
}

var simPool = dispatch.Pool{Model: scope.Model, Version: scope.Version}

const simRestart = 20 * time.Second

type event struct {
	at  time.Time
	run func()
}

// simCall is one call under way.
type simCall struct {
	route.Request
	id      core.AttemptID
	entry   int
	arrived time.Time
	choice  route.Choice
	runs    int // counts starts, so that a cancelled run does not finish
}

type simUpstream struct {
	id    core.UpstreamID
	admit *admit.Controller
	cache *lru.LRU[uint64, struct{}]
	// linkFree and prefillFree are when the link and the accelerator have done
	// the work that is queued on them.
	linkFree, prefillFree time.Time
	stored                [simEntries][]uint64 // keys not yet published
	restarted             time.Time
	running               int
}

// report sums up one run of the simulation.
type report struct {
	urgent, deferrable           []time.Duration // times to first token
	prompt, recomputed, imported float64         // bytes
	unseen                       float64         // bytes that no upstream has held before
	rejected, failed, preempted  int
}

func (r *report) metrics(b *testing.B) {
	b.ReportMetric(float64(quantile(r.urgent, 0.5).Milliseconds()), "urgent-p50-ms")
	b.ReportMetric(float64(quantile(r.urgent, 0.95).Milliseconds()), "urgent-p95-ms")
	b.ReportMetric(float64(quantile(r.deferrable, 0.95).Milliseconds()), "deferrable-p95-ms")
	b.ReportMetric(math.Round(1000*r.recomputed/r.prompt)/10, "recomputed-%")
	b.ReportMetric(math.Round(1000*r.unseen/r.prompt)/10, "unseen-%")
	b.ReportMetric(math.Round(r.imported/1e7)/100, "imported-GB")
	b.ReportMetric(float64(r.rejected), "rejected")
	b.ReportMetric(float64(r.failed), "failed")
	b.ReportMetric(float64(r.preempted), "preempted")
}

type sim struct {
	workload
	now       time.Time
	queue     []event // by time
	answered  int
	random    *rand.Rand
	upstreams []*simUpstream
	tables    []*route.Table
	dispatch  [simEntries]*dispatch.Queue[*simCall]
	calls     map[core.AttemptID]*simCall
	kept      map[uint64]bool
	seen      map[uint64]bool
	out       report
}

func simulate(w workload, policy route.Policy) report {
	s := &sim{workload: w, now: start, random: seeded(7), calls: map[core.AttemptID]*simCall{}, kept: map[uint64]bool{}, seen: map[uint64]bool{}}
	opts := route.DefaultOptions(simBlock)
	opts.Policy = policy
	if w.hints > 0 {
		opts.HintEntries = w.hints
	}
	for e := range simEntries {
		s.tables = append(s.tables, route.New(opts, seeded(uint64(e))))
		s.dispatch[e] = dispatch.New(w.calls, func(_ time.Time, c *dispatch.Call[*simCall]) bool { return s.send(c.Value) })
		s.tables[e].SetEntryCount(simEntries)
		s.tables[e].SetMembers(members(w.upstreams, "v1"))
	}
	for i := range w.upstreams {
		limits := admit.Defaults(simWindow, 1)
		limits.StartWindow = simWindow
		if w.start > 0 {
			limits.StartWindow = w.start
		}
		if w.grow > 0 {
			limits.GrowReplies = w.grow
		}
		cache, _ := lru.NewLRU[uint64, struct{}](w.cache, nil)
		u := &simUpstream{id: upstream(i), admit: admit.New(limits), cache: cache}
		s.upstreams = append(s.upstreams, u)
		s.after(0, func() { s.publish(u) })
		if i < w.restarts {
			s.after(simRestart, func() { s.restart(u) })
		}
	}
	s.arrive(0)
	for len(s.queue) > 0 && s.answered < w.calls {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.run()
	}
	return s.out
}

func (s *sim) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i := len(s.queue)
	for i > 0 && s.queue[i-1].at.After(at) {
		i--
	}
	s.queue = slices.Insert(s.queue, i, event{at, run})
}

// arrive makes call n and schedules the next one.
func (s *sim) arrive(n int) {
	if n == s.workload.calls {
		return
	}
	session := int(float64(s.sessions) * math.Pow(s.random.Float64(), 2)) // some return more often
	length := s.shared + 1 + int(rand.New(rand.NewPCG(uint64(session), 1)).ExpFloat64()*float64(s.history)) + n*4/s.workload.calls
	c := &simCall{id: core.AttemptID(fmt.Sprint(n)), entry: s.random.IntN(simEntries), arrived: s.now}
	c.Request = route.Request{Scope: scope, Blocks: s.blocks(session, length), PromptBytes: length*core.BlockBytes + 100}
	if s.random.Float64() < s.deferrable {
		c.Class = core.Deferrable
	}
	s.calls[c.id] = c
	s.try(c)
	s.after(time.Duration(s.random.ExpFloat64()/s.perSecond*1e9), func() { s.arrive(n + 1) })
}

func (s *sim) blocks(session, n int) []core.BlockKey {
	keys := make([]core.BlockKey, n)
	for i := range keys {
		owner := uint64(session + 1)
		if i < s.shared {
			owner = 0
		}
		binary.BigEndian.PutUint64(keys[i][:], (owner<<20|uint64(i)+1)*0x9e3779b97f4a7c15)
	}
	return keys
}

func short(k core.BlockKey) uint64 { return binary.BigEndian.Uint64(k[:8]) }

func (s *sim) try(c *simCall) {
	s.dispatch[c.entry].Offer(s.now, dispatch.Call[*simCall]{ID: c.id, Class: c.Class, Pool: simPool, Value: c})
}

// send sends a call to the chosen upstream, if there is one.
func (s *sim) send(c *simCall) bool {
	choice, refusal := s.tables[c.entry].Choose(s.now, &c.Request)
	if refusal != route.RefusalNone {
		return false
	}
	c.choice = choice
	u := s.upstreams[slices.IndexFunc(s.upstreams, func(u *simUpstream) bool { return u.id == choice.Upstream })]
	s.after(3*time.Millisecond, func() {
		d := u.admit.Offer(s.now, admit.Call{ID: c.id, Class: c.Class, Watcher: core.NodeID(fmt.Sprint(c.entry)), Incarnation: 1})
		switch d.Verdict {
		case admit.Start:
			s.start(u, c)
		case admit.Reject:
			s.reject(c.id)
		}
		s.apply(u, d.Effects)
	})
	return true
}

func (s *sim) reject(id core.AttemptID) {
	s.out.rejected++
	s.after(10*time.Millisecond, func() { s.try(s.calls[id]) })
}

func (s *sim) apply(u *simUpstream, e admit.Effects) {
	for _, id := range e.Started {
		s.start(u, s.calls[id])
	}
	for _, r := range e.Rejected {
		s.reject(r.ID)
	}
	for _, id := range e.Preempt {
		s.out.preempted++
		s.calls[id].runs++
		s.after(time.Millisecond, func() {
			u.running--
			s.apply(u, u.admit.Done(s.now, id, admit.Sample{Result: admit.Cancelled}))
			s.try(s.calls[id])
		})
	}
}

// unseen returns the bytes of a prompt that any policy has to compute.
func (s *sim) unseen(c *simCall) float64 {
	n := float64(c.PromptBytes - len(c.Blocks)*core.BlockBytes)
	for _, k := range c.Blocks {
		if !s.seen[short(k)] {
			n += core.BlockBytes
		}
		s.seen[short(k)] = true
	}
	return n
}

// start runs a call: import or recomputation, then the first token, then the
// rest of the answer.
func (s *sim) start(u *simUpstream, c *simCall) {
	c.runs++
	run := c.runs
	u.running++
	if u.running > u.limit(s.now) {
		s.out.failed++
		s.after(50*time.Millisecond, func() {
			if c.runs == run {
				u.running--
				s.apply(u, u.admit.Done(s.now, c.id, admit.Sample{Result: admit.Failed}))
				s.try(c)
			}
		})
		return
	}
	cached, stored := 0, 0
	for cached < len(c.Blocks) && u.cache.Contains(short(c.Blocks[cached])) {
		cached++
	}
	for stored < len(c.Blocks) && s.kept[short(c.Blocks[stored])] {
		stored++
	}
	begin := s.now
	have := cached
	if c.choice.Import && stored > cached {
		size := float64((stored - cached) * simBlock)
		begin = later(begin, u.linkFree).Add(time.Duration(size / simLink * 1e9))
		u.linkFree = begin
		s.out.imported += size
		have = stored
	}
	recompute := float64(c.PromptBytes - have*core.BlockBytes)
	s.out.prompt += float64(c.PromptBytes)
	s.out.recomputed += recompute
	s.out.unseen += s.unseen(c)
	u.prefillFree = later(begin, u.prefillFree).Add(time.Duration(recompute / simPrefill * 1e9))
	first := u.prefillFree.Sub(s.now)
	decode := simDecode
	if c.Class == core.Deferrable && s.summaries > 0 {
		decode = s.summaries
	}
	s.after(first+decode, func() { s.finish(u, c, run, cached, first, int(recompute)) })
	if s.restarts > 0 && s.now.Sub(start) < simRestart {
		return
	}
	if c.Class == core.Urgent {
		s.out.urgent = append(s.out.urgent, s.now.Add(first).Sub(c.arrived))
	} else {
		s.out.deferrable = append(s.out.deferrable, s.now.Add(first).Sub(c.arrived))
	}
}

func (s *sim) finish(u *simUpstream, c *simCall, run, cached int, first time.Duration, computed int) {
	if c.runs != run {
		return
	}
	s.answered++
	u.running--
	s.dispatch[c.entry].End(c.id)
	for i := len(c.Blocks) - 1; i >= 0; i-- { // the first blocks are evicted last
		u.cache.Add(short(c.Blocks[i]), struct{}{})
	}
	if s.published {
		route.HintDepths(len(c.Blocks), cached, func(depth int) {
			for e := range u.stored {
				u.stored[e] = append(u.stored[e], short(c.Blocks[depth-1]))
			}
		})
	}
	learned := route.RunResult{Upstream: u.id, Incarnation: 1, Blocks: c.Blocks, HeldBlocks: len(c.Blocks),
		HintedBlocks: c.choice.HintedBlocks, HintAge: c.choice.HintAge, ReusedBlocks: cached}
	s.tables[c.entry].RecordRun(s.now, learned)
	if s.workload.kept {
		s.tables[c.entry].RecordKeptBlocks(s.now, c.Blocks, len(c.Blocks))
		for _, k := range c.Blocks {
			s.kept[short(k)] = true
		}
	}
	s.apply(u, u.admit.Done(s.now, c.id, admit.Sample{FirstToken: first, ComputedBytes: computed}))
}

// restart makes an engine cold.
func (s *sim) restart(u *simUpstream) {
	u.restarted = s.now
	u.cache.Purge()
	if !s.silent {
		u.admit.Reset(admit.ResetIncarnation)
	}
}

// limit is how many runs the engine can handle.
func (u *simUpstream) limit(now time.Time) int {
	if u.restarted.IsZero() {
		return simWindow
	}
	return min(simWindow, 1+int(now.Sub(u.restarted).Seconds()))
}

// publish sends the state of an upstream to the entries, and these match it
// with their waiting calls.
func (s *sim) publish(u *simUpstream) {
	state := u.admit.State(s.now)
	for e, table := range s.tables {
		credit := u.admit.Grant(s.now, core.NodeID(fmt.Sprint(e)))
		if s.free {
			credit.Count, credit.Urgent = math.MaxInt32, 0
		}
		table.Update(s.now, route.State{
			Upstream: u.id, Incarnation: 1, Credits: credit.Count, UrgentCredits: credit.Urgent,
			CreditExpiry: credit.Expires, Window: state.Window, Running: state.Running, Queued: state.Queued,
			QueueDelay: state.UrgentDelay, PrefillRate: simPrefill, LinkRate: simLink,
			StoredKeys: u.stored[e],
		})
		u.stored[e] = nil
		s.dispatch[e].Credits(s.now, simPool, credit.Count)
	}
	s.after(simInterval, func() { s.publish(u) })
}

// Guards against a restarted engine that gets the load of a warm one, also when
// nothing but failed runs tells of the restart.
func TestRestartedEnginesRampUp(t *testing.T) {
	w := longHistories
	w.calls, w.published, w.restarts, w.start = 4000, true, 4, 1
	ramp := simulate(w, route.Combined)
	w.silent = true
	silent := simulate(w, route.Combined)
	w.start = simWindow
	fixed := simulate(w, route.Combined)
	require.Zero(t, ramp.failed)
	require.Less(t, silent.failed, fixed.failed)
}

// BenchmarkAdmission compares ways of admission: while four of twelve engines
// turn cold, and under more load than the windows hold. Run it with
// -benchtime 1x.
func BenchmarkAdmission(b *testing.B) {
	restart, overload := longHistories, handbook
	restart.name, restart.restarts = "restart", 4
	overload.name, overload.perSecond, overload.calls = "overload", 320, 6000
	summaries := handbook
	summaries.name, summaries.perSecond, summaries.summaries = "summaries", 120, 4*time.Second
	ways := []struct {
		name string
		admission
	}{
		{"fixed", admission{start: simWindow}},
		{"fixed-free", admission{start: simWindow, free: true}},
		{"half-silent", admission{start: 4, silent: true}},
		{"ramp-grow1", admission{start: 1, grow: 1}},
		{"ramp-grow2", admission{start: 1, grow: 2}},
		{"ramp", admission{start: 1}},
		{"ramp-silent", admission{start: 1, silent: true}},
		{"ramp-free", admission{start: 1, free: true}},
	}
	for _, w := range []workload{restart, overload, summaries} {
		for _, way := range ways {
			b.Run(w.name+"/"+way.name, func(b *testing.B) {
				w := w
				w.published, w.admission = true, way.admission
				var r report
				for b.Loop() {
					r = simulate(w, route.Combined)
				}
				r.metrics(b)
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
	longHistories = workload{name: "long", upstreams: 12, cache: 4000, sessions: 600, history: 100, perSecond: 90, calls: 8000, deferrable: 0.2}
	keptHistories = workload{name: "kept", upstreams: 12, cache: 4000, sessions: 600, history: 100, perSecond: 90, calls: 8000, deferrable: 0.2, kept: true}
	fewHints      = workload{name: "few-hints", upstreams: 12, cache: 4000, sessions: 600, history: 100, perSecond: 90, calls: 8000, deferrable: 0.2, hints: 1024}
	manyUpstreams = workload{name: "many", upstreams: 100, cache: 4000, sessions: 5000, history: 100, perSecond: 750, calls: 20000, deferrable: 0.2}
	handbook      = workload{name: "handbook", upstreams: 12, cache: 1000, sessions: 600, shared: 60, history: 3, perSecond: 180, calls: 8000, deferrable: 0.2}
	workloads     = []workload{longHistories, keptHistories, fewHints, manyUpstreams, handbook}
	policies      = []route.Policy{route.Combined, route.LeastLoaded, route.AffinityOnly, route.DirectoryOnly}
)

// Guards against a policy in use that recomputes more, or answers later, than
// the least-loaded baseline on returning prompts.
func TestPoliciesOnReturningPrompts(t *testing.T) {
	for _, w := range []workload{longHistories, keptHistories, handbook} {
		w.calls = 2000
		w.published = true
		use, base := simulate(w, route.Combined), simulate(w, route.LeastLoaded)
		require.Less(t, use.recomputed, base.recomputed, w.name)
		require.Less(t, quantile(use.urgent, 0.95), quantile(base.urgent, 0.95), w.name)
	}
}

// BenchmarkPolicies gives the figures of docs/measurements.md; run it with
// -benchtime 1x. They are in simulated time and the same on every run.
func BenchmarkPolicies(b *testing.B) {
	for _, w := range workloads {
		for _, published := range []bool{false, true} {
			w.published = published
			for _, policy := range policies {
				b.Run(fmt.Sprintf("%s/published=%v/%s", w.name, published, policy), func(b *testing.B) {
					var r report
					for b.Loop() {
						r = simulate(w, policy)
					}
					r.metrics(b)
				})
			}
		}
	}
}
