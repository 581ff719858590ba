package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

const (
	engines = core.ServiceID("engines")
	records = core.ServiceID("records")
	model   = core.ModelID("m")
	storeAt = "10.9.0.1:80"
)

var t0 = time.Unix(1000, 0)

func options(node core.NodeID) Options {
	return Options{
		Node: node, PrefillTokensPerMs: 40, ColdFactor: 1.5, ColdSlack: 5, WeightChangeTimeout: 10 * time.Second,
		RetryShare: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second,
	}
}

func listed(service core.ServiceID, n int) []catalog.ListedUpstream {
	var out []catalog.ListedUpstream
	for i := range n {
		u := &catalog.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("%s-%d", service, i)), Service: service,
			Address: fmt.Sprintf("10.0.%d.%d:80", len(service), i), Domain: core.FailureDomain(fmt.Sprintf("d%d", i%3)),
			Slots: 8,
		}
		if service == engines {
			u.Weights = map[core.ModelID]catalog.WeightNumber{model: 1}
		}
		out = append(out, catalog.ListedUpstream{Upstream: u, Revision: 1})
	}
	return out
}

func world(fronts int) Inputs {
	config := &catalog.Config{Services: map[core.ServiceID]*catalog.Service{
		engines: {ID: engines, ColdCallsPerSecond: 11, Engine: &catalog.Engine{
			Slots: 64, CacheTokens: 50_000, TokenBytes: 163_840, LinkMbps: 740_000, Models: []core.ModelID{model},
		}},
		records: {ID: records},
	}, CacheStores: []catalog.CacheStore{{Address: storeAt, Domain: "d0", CapacityTokens: 100_000, LinkMbps: 200_000}}}
	w := Inputs{Config: config.Index(), Upstreams: append(listed(engines, 4), listed(records, 3)...)}
	for i := range fronts {
		w.Fronts = append(w.Fronts, core.NodeID(fmt.Sprintf("front-%d", i)))
	}
	return w
}

func table(w Inputs) *Table {
	t := New(options("front-0"), cacheindex.New())
	t.SetInputs(t0, w)
	return t
}

func prompt(shared string) core.Prompt {
	return core.Prompt{Model: model, Tokens: 3000, MaxOutput: 20, Parts: []core.Part{
		{ID: core.PartID(shared), Tokens: 2000}, {ID: "own", Tokens: 1000},
	}}
}

func recordNeed() Request { return Request{Service: records} }

// Guards against calls to upstreams that leave, that are in a failure domain
// taken out of service, or that were tried before.
func TestChooseKeepsAwayFrom(t *testing.T) {
	cases := map[string]func(w *Inputs, need *Request){
		"draining upstreams": func(w *Inputs, _ *Request) {
			for _, u := range w.Upstreams {
				u.Draining = u.Service == records && u.ID != "records-2"
			}
		},
		"an evacuated failure domain": func(w *Inputs, _ *Request) {
			w.Evacuated = map[core.FailureDomain]bool{"d0": true, "d1": true}
		},
		"upstreams tried before": func(_ *Inputs, need *Request) {
			need.TriedUpstreams = []core.UpstreamID{"records-0", "records-1"}
		},
		"upstreams that cannot be reached": func(*Inputs, *Request) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			w, need := world(1), recordNeed()
			prepare(&w, &need)
			tab := table(w)
			if name == "upstreams that cannot be reached" {
				unreachable(t, tab, "records-0")
				unreachable(t, tab, "records-1")
			}
			for range 10 {
				choice, refusal := tab.Choose(t0, need)
				require.Equal(t, Placed, refusal)
				require.Equal(t, core.UpstreamID("records-2"), choice.Upstream.ID)
			}
		})
	}
}

func unreachable(t *testing.T, tab *Table, id core.UpstreamID) {
	t.Helper()
	need := recordNeed()
	for _, u := range tab.byService[records] {
		if u.listed.ID != id {
			need.TriedUpstreams = append(need.TriedUpstreams, u.listed.ID)
		}
	}
	choice, refusal := tab.Choose(t0, need)
	require.Equal(t, Placed, refusal)
	tab.RecordReport(t0, Report{AttemptID: choice.AttemptID, Upstream: id, Final: true, Result: Unreachable})
}

// Guards against a cold upstream that gets more than it bears from all
// processes together, whatever their number.
func TestColdLimitHoldsOverAllProcesses(t *testing.T) {
	for _, fronts := range []int{1, 3, 4, 27, 100} {
		w := world(fronts)
		w.Upstreams = w.Upstreams[:1]
		w.Upstreams[0].ColdRemaining = 3 * time.Second
		total := 0
		for _, node := range w.Fronts {
			tab := New(options(node), cacheindex.New())
			tab.SetInputs(t0.Add(-time.Minute), Inputs{Fronts: w.Fronts})
			tab.SetInputs(t0, w)
			for i := range 50 {
				at := t0.Add(time.Duration(i) * 20 * time.Millisecond)
				if _, refusal := tab.Choose(at, Request{Service: engines, Prompt: prompt("a")}); refusal == Placed {
					total++
				}
			}
		}
		const bound = 21 // 11 a second x 1.5 + 5
		require.LessOrEqual(t, total, bound, "%d fronts", fronts)
		require.Greater(t, total, bound/2, "%d fronts", fronts)
	}
}

// Guards against a share of a limit that stays the same when a process comes or
// goes: together they would send more than a cold upstream bears, or less.
func TestSharesFollowTheNumberOfProcesses(t *testing.T) {
	const total = 21 // 11 a second x 1.5 + 5
	few, many := world(2), world(40)
	sum := make(map[int]int)
	for _, node := range many.Fronts {
		tab := New(options(node), cacheindex.New())
		for _, w := range []Inputs{few, many, few, many} {
			tab.SetInputs(t0, w)
			u := tab.byService[engines][0]
			if slices.Contains(w.Fronts, node) {
				sum[len(w.Fronts)] += tab.share(total, u)
			}
			require.InDelta(t, total/len(w.Fronts), tab.share(total, u), 1)
		}
	}
	require.Equal(t, map[int]int{2: 2 * total, 40: 2 * total}, sum, "each number of processes is set twice")
}

// Guards against limits that a process uses up twice by being restarted within
// their window, and against a budget that is full again after each change of the
// number of processes.
func TestRestartGivesNoNewShare(t *testing.T) {
	w := world(1)
	w.Upstreams = append(w.Upstreams[:1], w.Upstreams[4:]...)
	w.Upstreams[0].ColdRemaining = 3 * time.Second
	tab := New(options(w.Fronts[0]), cacheindex.New())
	tab.SetInputs(t0, w)
	need := Request{Service: engines, Prompt: prompt("a")}
	_, refusal := tab.Choose(t0.Add(time.Second), need)
	require.Equal(t, Limited, refusal)
	_, refusal = tab.Choose(t0.Add(1100*time.Millisecond), need)
	require.Equal(t, Placed, refusal)

	repeat := recordNeed()
	repeat.Retry = true
	spend := func(at time.Time) (spent int) {
		for range 60 {
			if _, refusal := tab.Choose(at, repeat); refusal == Placed {
				spent++
			}
		}
		return spent
	}
	require.LessOrEqual(t, spend(t0), 13, "a quarter of the slack is left to those before the start")
	later := t0.Add(time.Minute)
	require.InDelta(t, 19, spend(later), 1, "what is saved up in a minute")
	more := world(2)
	more.Upstreams = w.Upstreams
	tab.SetInputs(later, more)
	_, refusal = tab.Choose(later, repeat)
	require.Equal(t, NoRetryBudget, refusal)
}

// Guards against repeats that exceed the budget of all processes together.
func TestRetryBudgetHoldsOverAllProcesses(t *testing.T) {
	for _, fronts := range []int{1, 4, 27} {
		w := world(fronts)
		repeats, calls := 0, 0
		for _, node := range w.Fronts {
			tab := New(options(node), cacheindex.New())
			tab.SetInputs(t0, w)
			for i := range 200 {
				at := t0.Add(time.Duration(i) * 50 * time.Millisecond)
				if i%10 == 0 {
					_, refusal := tab.Choose(at, recordNeed())
					require.Equal(t, Placed, refusal)
					calls++
				}
				if _, refusal := tab.Choose(at, Request{Service: records, Retry: true}); refusal == Placed {
					repeats++
				}
			}
		}
		require.LessOrEqual(t, float64(repeats), 0.2*float64(calls)+52, "%d fronts", fronts)
	}
}

// Guards against calls that begin on older weights after the time for them.
func TestOldWeightsAreNotUsedWhenOverdue(t *testing.T) {
	w := world(1)
	w.Upstreams[0].Weights = map[core.ModelID]catalog.WeightNumber{model: 2}
	w.WeightHistory = map[core.ModelID]catalog.WeightHistory{}
	cases := map[string]struct {
		since time.Time
		after time.Duration
		only  bool
		later catalog.WeightHistory
	}{
		"just named":                     {t0, 100 * time.Millisecond, false, nil},
		"overdue":                        {t0, 9 * time.Second, true, nil},
		"named before the process began": {time.Time{}, 0, true, nil},
		"overdue in a series": {
			t0, 9 * time.Second, true, catalog.WeightHistory{{Version: 3, RequestedAt: t0.Add(8 * time.Second)}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w.WeightHistory[model] = append(catalog.WeightHistory{{Version: 2, RequestedAt: c.since}}, c.later...)
			tab := table(w)
			seen := make(map[catalog.WeightNumber]bool)
			for i := range 20 {
				choice, refusal := tab.Choose(t0.Add(c.after), Request{Service: engines, Prompt: prompt(fmt.Sprint(i))})
				if refusal == Placed {
					seen[choice.Weights] = true
				}
			}
			require.Equal(t, c.only, !seen[1])
			require.True(t, seen[2])
		})
	}
}

// Guards against a record that is sent to an upstream that fails many calls,
// while only calls that may be repeated try it.
func TestSuspectUpstreamGetsOnlyTrials(t *testing.T) {
	tab := table(world(1))
	bad := core.UpstreamID("records-0")
	for range 6 {
		need := Request{Service: records, TriedUpstreams: []core.UpstreamID{"records-1", "records-2"}, Repeatable: true}
		choice, refusal := tab.Choose(t0, need)
		require.Equal(t, Placed, refusal)
		tab.RecordReport(t0, Report{AttemptID: choice.AttemptID, Upstream: bad, Final: true, Result: Failed})
	}
	for range 30 {
		choice, refusal := tab.Choose(t0.Add(time.Millisecond), recordNeed())
		require.Equal(t, Placed, refusal)
		require.NotEqual(t, bad, choice.Upstream.ID)
	}
}

// Guards against a cache that is shared across the border of an isolated
// workspace, or across weight versions.
func TestSaltKeepsWalls(t *testing.T) {
	open := &catalog.Workspace{ID: "open"}
	walled := &catalog.Workspace{ID: "walled", Isolated: true}
	require.Equal(t, Salt(model, 1, open), Salt(model, 1, nil))
	require.NotEqual(t, Salt(model, 1, walled), Salt(model, 1, open))
	require.NotEqual(t, Salt(model, 1, walled), Salt(model, 1, &catalog.Workspace{ID: "other", Isolated: true}))
	require.NotEqual(t, Salt(model, 1, open), Salt(model, 2, open))
	name, version, ok := ParseSalt(Salt("a/b", 7, walled))
	require.True(t, ok)
	require.Equal(t, core.ModelID("a/b"), name)
	require.Equal(t, catalog.WeightNumber(7), version)
	_, _, ok = ParseSalt("foreign")
	require.False(t, ok)
}

// Guards against a prompt that is read again while a store or another server
// holds its part, and against fetching what a server has not reported itself.
func TestPlanFetchesFromStoresAndServers(t *testing.T) {
	part := cacheindex.Key{Salt: Salt(model, 1, nil), ID: "a"}
	tab := table(world(1))
	tab.Sources()
	need := Request{Service: engines, Prompt: prompt("a"), TriedUpstreams: []core.UpstreamID{"engines-1", "engines-2", "engines-3"}}

	choice, _ := tab.Choose(t0, need)
	require.Equal(t, []string{"", ""}, choice.FetchFrom)
	require.Equal(t, 3000, choice.ReadTokens)

	other := "10.0.7.1:80"
	need.Prompt = prompt("b")
	tab.upstreams["engines-1"].hasRead(cacheindex.Key{Salt: part.Salt, ID: "b"}, cached{tokens: 2000}, 50_000)
	tab.upstreams["engines-1"].heardAt = t0
	choice, _ = tab.Choose(t0, need)
	require.Equal(t, []string{"", ""}, choice.FetchFrom, "a guess is no source")

	need.Prompt = prompt("c")
	told := CacheChange{ReceivedAt: t0, Added: []cacheindex.CachedPart{{Key: cacheindex.Key{Salt: part.Salt, ID: "c"}, Tokens: 2000}}}
	require.True(t, tab.ApplyCacheChange(other, told))
	choice, _ = tab.Choose(t0, need)
	require.Equal(t, []string{other, ""}, choice.FetchFrom)
	require.Equal(t, 2000, choice.FetchedTokens)
	require.Equal(t, 1000, choice.ReadTokens)
}

// Guards against bodies of calls that stay booked at an upstream for ever.
func TestLearnTakesAttemptsBack(t *testing.T) {
	tab := table(world(1))
	choice, _ := tab.Choose(t0, Request{Service: engines, Prompt: prompt("a")})
	u := tab.upstreams[choice.Upstream.ID]
	require.Equal(t, 3000, u.backlog)
	tab.RecordReport(t0, Report{AttemptID: choice.AttemptID, Upstream: u.listed.ID})
	require.Zero(t, u.backlog)
	require.Equal(t, 3020, u.tokens)
	tab.RecordReport(t0, Report{AttemptID: choice.AttemptID, Upstream: u.listed.ID, Final: true, Result: Completed})
	require.Zero(t, u.tokens)
	require.Empty(t, u.attempts)
}

// Guards against fetches that wait on a slow link while reading is faster.
func TestSlowLinkIsLeftAloneUntilItRecovers(t *testing.T) {
	tab := table(world(1))
	tab.kept.Replace(t0, storeAt, 1, []cacheindex.CachedPart{{Key: cacheindex.Key{Salt: Salt(model, 1, nil), ID: "a"}, Tokens: 2000}})
	need := Request{Service: engines, Prompt: prompt("a"), TriedUpstreams: []core.UpstreamID{"engines-1", "engines-2", "engines-3"}}
	choice, _ := tab.Choose(t0, need)
	require.Equal(t, storeAt, choice.FetchFrom[0])
	for range 12 {
		tab.link(storeAt).observe(t0, 10, 200)
	}
	tab.upstreams["engines-0"].forgetCache()
	choice, _ = tab.Choose(t0.Add(time.Millisecond), need)
	require.Empty(t, choice.FetchFrom[0])
	later := t0.Add(15 * time.Second)
	tab.kept.Replace(later, storeAt, 1, []cacheindex.CachedPart{{Key: cacheindex.Key{Salt: Salt(model, 1, nil), ID: "a"}, Tokens: 2000}})
	tab.upstreams["engines-0"].forgetCache()
	choice, _ = tab.Choose(later, need)
	require.Equal(t, storeAt, choice.FetchFrom[0])
}

// Guards against freeing parts that a server with older weights may still fetch.
func TestPartsAreObsoleteOnlyWhenNoUpstreamHasTheirWeights(t *testing.T) {
	w := world(1)
	tab := table(w)
	old := Salt(model, 1, nil)
	later := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	for i := range 3 {
		tab.RecordReport(t0, Report{Upstream: core.UpstreamID(fmt.Sprintf("engines-%d", i)), Model: model, Weights: 2})
	}
	tab.UpdateOldestWeights(t0)
	require.False(t, tab.Obsolete(later(100), old), "engines-3 has the older weights")
	tab.RecordReport(later(100), Report{Upstream: "engines-3", Model: model, Weights: 2})
	tab.UpdateOldestWeights(later(100))
	require.False(t, tab.Obsolete(later(101), old), "a transfer may be under way")
	require.True(t, tab.Obsolete(later(104), old))
	require.False(t, tab.Obsolete(later(104), Salt(model, 2, nil)))
	require.False(t, tab.Obsolete(later(104), "of another writer"))
}
