package route_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/route"
)

var (
	start = time.Unix(1_800_000_000, 0)
	scope = core.CacheScope{Workspace: "w", Model: "m", Version: "v1"}
)

func upstream(i int) core.UpstreamID { return core.UpstreamID(fmt.Sprintf("u%05d", i)) }

func seededRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 20261204)) }

// prompt returns the first block keys of a session. The keys of different sessions
// differ.
func prompt(session, blocks int) []core.BlockKey {
	keys := make([]core.BlockKey, blocks)
	random := seededRand(uint64(session))
	for i := range keys {
		binary.BigEndian.PutUint64(keys[i][:], random.Uint64())
	}
	return keys
}

func request(session, blocks int) *route.Request {
	return &route.Request{Scope: scope, Blocks: prompt(session, blocks), PromptBytes: blocks * core.BlockBytes}
}

func listUpstreams(n int, version core.WeightVersion) []route.UpstreamConfig {
	upstreams := make([]route.UpstreamConfig, n)
	for i := range upstreams {
		upstreams[i] = route.UpstreamConfig{ID: upstream(i), Model: "m", Version: version}
	}
	return upstreams
}

func state(i int) route.State {
	return route.State{
		Upstream: upstream(i), Incarnation: 1, Credits: 8, UrgentCredits: 2,
		CreditExpiry: start.Add(2 * time.Second), Window: 8,
	}
}

func table(n int, policy route.Policy) *route.Table {
	opts := route.DefaultOptions(100_000)
	opts.Policy = policy
	t := route.New(opts, seededRand(1))
	t.SetUpstreams(listUpstreams(n, "v1"))
	for i := range n {
		t.RecordState(start, state(i))
	}
	return t
}

// Guards against a call to an upstream that must not receive it, with any policy
// and any source of candidates.
func TestExcludedUpstreamsAreNeverChosen(t *testing.T) {
	withUpstream := func(change func(*route.UpstreamConfig)) func(*route.Table, *route.Request) {
		return func(tb *route.Table, _ *route.Request) {
			upstreams := listUpstreams(2, "v1")
			change(&upstreams[0])
			tb.SetUpstreams(upstreams)
		}
	}
	withState := func(change func(*route.State)) func(*route.Table, *route.Request) {
		return func(tb *route.Table, _ *route.Request) {
			s := state(0)
			change(&s)
			tb.RecordState(start, s)
		}
	}
	cases := map[string]struct {
		exclude func(*route.Table, *route.Request)
		class   core.Class
	}{
		"closed":        {exclude: withUpstream(func(u *route.UpstreamConfig) { u.Closed = true })},
		"other version": {exclude: withUpstream(func(u *route.UpstreamConfig) { u.Version = "v2" })},
		"removed":       {exclude: withUpstream(func(u *route.UpstreamConfig) { u.ID = "other" })},
		"not loaded":    {exclude: withState(func(s *route.State) { s.Version, s.Loaded = "v0", []core.WeightVersion{"v0"} })},
		"draining":      {exclude: withState(func(s *route.State) { s.Draining = true })},
		"no credit":     {exclude: withState(func(s *route.State) { s.Credits, s.UrgentCredits = 0, 0 })},
		"expired":       {exclude: withState(func(s *route.State) { s.CreditExpiry = start })},
		"urgent credits only": {class: core.Deferrable, exclude: withState(func(s *route.State) {
			s.UrgentCredits = s.Credits
		})},
		"tried": {exclude: func(_ *route.Table, r *route.Request) { r.TriedUpstreams = []core.UpstreamID{upstream(0)} }},
		"filter": {exclude: func(_ *route.Table, r *route.Request) {
			r.Allow = func(id core.UpstreamID) bool { return id != upstream(0) }
		}},
	}
	for name, c := range cases {
		for _, policy := range []route.Policy{route.Combined, route.LeastLoaded, route.AffinityOnly, route.DirectoryOnly} {
			t.Run(fmt.Sprintf("%s/%s", name, policy), func(t *testing.T) {
				tb := table(2, policy)
				r := request(1, 8)
				r.Class = c.class
				tb.RecordRun(start, route.RunResult{Upstream: upstream(0), Incarnation: 1, Blocks: r.Blocks, HeldBlocks: 8})
				c.exclude(tb, r)
				for choiceCount := 0; ; choiceCount++ {
					choice, refusal := tb.Choose(start, r)
					if refusal != route.RefusalNone {
						require.Equal(t, route.RefusalNoCredit, refusal)
						require.NotZero(t, choiceCount)
						break
					}
					require.Equal(t, upstream(1), choice.Upstream)
				}
			})
		}
	}
}

// Guards against more calls than an upstream has granted credits for.
func TestCreditsAreSpent(t *testing.T) {
	tb := table(3, route.Combined)
	calls := 0
	for refusal := route.RefusalNone; refusal == route.RefusalNone; calls++ {
		_, refusal = tb.Choose(start, request(calls, 4))
	}
	require.Equal(t, 3*8, calls-1)
	require.False(t, tb.RecordState(start, route.State{Upstream: "stranger"}))
	tb.RecordState(start, state(0))
	choice, refusal := tb.Choose(start, request(1, 4))
	require.Equal(t, route.RefusalNone, refusal)
	require.Equal(t, 7, tb.Credits(start, upstream(0), core.Urgent))
	tb.ReturnCredit(choice)
	require.Equal(t, 8, tb.Credits(start, upstream(0), core.Urgent))
}

// Guards against a repeated prompt that is recomputed while an upstream holds its
// prefix, and against hints that remain valid after the upstream lost its cache.
func TestRepeatedPromptGoesToHolder(t *testing.T) {
	tb := table(100, route.Combined)
	r := request(5, 90)
	tb.RecordRun(start, route.RunResult{Upstream: upstream(42), Incarnation: 1, Blocks: r.Blocks, HeldBlocks: 80})
	choice, _ := tb.Choose(start, r)
	require.Equal(t, upstream(42), choice.Upstream)
	require.Equal(t, 80, choice.HintedBlocks)

	long := request(6, 700)
	tb.RecordRun(start, route.RunResult{Upstream: upstream(17), Incarnation: 1, Blocks: long.Blocks, HeldBlocks: 300})
	choice, _ = tb.Choose(start, long)
	require.Equal(t, upstream(17), choice.Upstream)
	require.Equal(t, 256, choice.HintedBlocks, "early blocks of a prompt are looked up at powers of two")

	s := state(42)
	s.CacheEpoch = 2
	tb.RecordState(start, s)
	choice, _ = tb.Choose(start, r)
	require.Zero(t, choice.HintedBlocks)
}

// Guards against an urgent call that waits in the queue of the holder although
// recomputation on another upstream, or a transfer from the kept-cache store,
// gives the first token sooner.
func TestUrgentCallAvoidsBusyHolder(t *testing.T) {
	tb := table(100, route.Combined)
	r := request(5, 90)
	tb.RecordRun(start, route.RunResult{Upstream: upstream(42), Incarnation: 1, Blocks: r.Blocks, HeldBlocks: 90})
	s := state(42)
	s.Running, s.Queued, s.QueueDelay = 8, 4, 3*time.Second
	tb.RecordState(start, s)
	choice, _ := tb.Choose(start, r)
	require.NotEqual(t, upstream(42), choice.Upstream)
	require.False(t, choice.ImportKeptCache)

	r.Class = core.Deferrable
	choice, _ = tb.Choose(start, r)
	require.Equal(t, upstream(42), choice.Upstream, "a deferrable call waits for the cached prefix")

	r.Class = core.Urgent
	tb.RecordKeptBlocks(start, r.Blocks, 90)
	for i := range 100 {
		s := state(i)
		s.LinkRate = 100e6
		tb.RecordState(start, s)
	}
	tb.RecordState(start, s)
	choice, _ = tb.Choose(start, r)
	require.NotEqual(t, upstream(42), choice.Upstream)
	require.True(t, choice.ImportKeptCache)
}

// Guards against many prompts that change their upstream when one upstream is
// removed, and against a frequent prefix that overloads few upstreams.
func TestAffinityIsStableAndBounded(t *testing.T) {
	// The upstreams of the second check have 50 * 8 credits. The first check uses a
	// tenth of this number as the number of sessions.
	const totalCredits = 400
	firstUpstream := func(n, session int) core.UpstreamID {
		choice, _ := table(n, route.AffinityOnly).Choose(start, request(session, 6))
		return choice.Upstream
	}
	changedUpstream := 0
	for session := range totalCredits / 10 { // 40 sessions
		if firstUpstream(20, session) != firstUpstream(19, session) {
			changedUpstream++
		}
	}
	require.Less(t, changedUpstream, totalCredits/10/4) // a quarter of the sessions

	tb := table(50, route.AffinityOnly)
	callsByUpstream := map[core.UpstreamID]int{}
	for range totalCredits / 2 { // half of all credits, all for the same prompt
		choice, _ := tb.Choose(start, request(1, 6))
		callsByUpstream[choice.Upstream]++
	}
	// 200 calls use up the credits of at least 25 upstreams. The bound is half of that.
	require.Greater(t, len(callsByUpstream), 200/(2*8), "a frequent prefix is distributed over many upstreams")
}

// Guards against hash rings that differ between entries because the entries
// received different sequences of changes to the set of upstreams.
func TestHashRingDependsOnUpstreamsOnly(t *testing.T) {
	random := seededRand(3)
	changedTable := table(0, route.AffinityOnly)
	for range 40 {
		upstreams := slices.DeleteFunc(listUpstreams(60, "v1"), func(route.UpstreamConfig) bool { return random.IntN(3) == 0 })
		for i := range upstreams {
			if random.IntN(5) == 0 {
				upstreams[i].Version = "v2"
			}
		}
		changedTable.SetUpstreams(upstreams)
		freshTable := table(0, route.AffinityOnly)
		freshTable.SetUpstreams(upstreams)
		for _, tb := range []*route.Table{changedTable, freshTable} {
			for i := range 60 {
				tb.RecordState(start, state(i))
			}
		}
		for session := range 20 {
			a, _ := changedTable.Choose(start, request(session, 6))
			b, _ := freshTable.Choose(start, request(session, 6))
			require.Equal(t, b.Upstream, a.Upstream)
		}
	}
}

// Guards against a canary share that is not met, and against a call that is sent
// to an upstream of the other version.
func TestCanarySplit(t *testing.T) {
	opts := route.DefaultOptions(100_000)
	tb := route.New(opts, seededRand(1))
	upstreams := listUpstreams(12, "v1")
	upstreams[3].Version, upstreams[7].Version = "v2", "v2"
	tb.SetUpstreams(upstreams)
	split := route.Split{Stable: "v1", Canary: "v2", Share: 0.05}
	canary := 0
	for i := range 20_000 {
		for j := range 12 {
			if i%4 == 0 {
				tb.RecordState(start, state(j))
			}
		}
		r := request(1, 0)
		r.Scope.Version = split.Version(core.AttemptID(fmt.Sprint("a-", i)))
		choice, refusal := tb.Choose(start, r)
		require.Equal(t, route.RefusalNone, refusal)
		isCanary := choice.Upstream == upstream(3) || choice.Upstream == upstream(7)
		require.Equal(t, r.Scope.Version == "v2", isCanary)
		if isCanary {
			canary++
		}
	}
	require.InDelta(t, 0.05*20_000, canary, 100)
	require.Equal(t, core.WeightVersion("v1"), route.Split{Stable: "v1", Canary: "v2"}.Version("x"))
}

// Guards against memory allocation in Choose, which runs for every call.
func TestChooseDoesNotAllocate(t *testing.T) {
	tb := table(1000, route.Combined)
	r := request(3, 50)
	tb.RecordRun(start, route.RunResult{Upstream: upstream(9), Incarnation: 1, Blocks: r.Blocks, HeldBlocks: 40})
	require.Zero(t, testing.AllocsPerRun(100, func() {
		choice, _ := tb.Choose(start, r)
		tb.ReturnCredit(choice)
	}))
}

func BenchmarkChoose(b *testing.B) {
	for _, policy := range []route.Policy{route.Combined, route.LeastLoaded, route.AffinityOnly, route.DirectoryOnly} {
		for _, n := range []int{12, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				tb := table(n, policy)
				const sessions = 1024
				requests := make([]*route.Request, sessions)
				for i := range requests {
					requests[i] = request(i, 50)
					if i%2 == 0 {
						tb.RecordRun(start, route.RunResult{Upstream: upstream(i % n), Incarnation: 1, Blocks: requests[i].Blocks, HeldBlocks: 45})
					}
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					choice, _ := tb.Choose(start, requests[i%sessions])
					tb.ReturnCredit(choice)
					i++
				}
			})
		}
	}
}

// BenchmarkUpdate measures the update with one published state that contains
// eight new keys.
func BenchmarkUpdate(b *testing.B) {
	tb := table(1000, route.Combined)
	upstreams := listUpstreams(1000, "v1")
	random := seededRand(4)
	s := state(0)
	s.StoredKeys = make([]uint64, 8)
	b.ReportAllocs()
	for b.Loop() {
		s.Upstream = upstreams[random.IntN(len(upstreams))].ID
		for i := range s.StoredKeys {
			s.StoredKeys[i] = random.Uint64()
		}
		tb.RecordState(start, s)
	}
}
