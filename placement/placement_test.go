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
	"waxwingtide.example/waxwingtide/fleet/quota"
)

const (
	engines      = core.ServiceID("engines")
	plainService = core.ServiceID("records")
	model        = core.ModelID("m")
	storeAddress = "10.9.0.1:80"
)

var t0 = time.Unix(1000, 0)

func options(node core.NodeID) Options {
	return Options{
		Node: node, PrefillTokensPerMs: 40, ColdFactor: 1.5, ColdSlack: 5, WeightChangeTimeout: 10 * time.Second,
		RetryShare: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second,
	}
}

func newUpstreams(service core.ServiceID, n int) []catalog.UpstreamRow {
	var out []catalog.UpstreamRow
	for i := range n {
		u := &catalog.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("%s-%d", service, i)), Service: service,
			Address: fmt.Sprintf("10.0.%d.%d:80", len(service), i), Domain: core.FailureDomain(fmt.Sprintf("d%d", i%3)),
			Slots: 8,
		}
		if service == engines {
			u.Weights = map[core.ModelID]catalog.WeightNumber{model: 1}
		}
		out = append(out, catalog.UpstreamRow{Upstream: u, RowVersion: 1})
	}
	return out
}

func newInputs(fronts int) Inputs {
	config := &catalog.Config{Services: map[core.ServiceID]*catalog.Service{
		engines: {ID: engines, ColdCallsPerSecond: 11, Engine: &catalog.Engine{
			Slots: 64, CacheTokens: 50_000, TokenBytes: 163_840, LinkMbps: 740_000, Models: []core.ModelID{model},
		}},
		plainService: {ID: plainService},
	}, CacheStores: []catalog.CacheStore{{Address: storeAddress, Domain: "d0", CapacityTokens: 100_000, LinkMbps: 200_000}}}
	in := Inputs{Config: config.Index(), Upstreams: append(newUpstreams(engines, 4), newUpstreams(plainService, 3)...)}
	for i := range fronts {
		in.Fronts = append(in.Fronts, core.NodeID(fmt.Sprintf("front-%d", i)))
	}
	return in
}

func newPlacer(in Inputs) *Placer {
	placer := New(options("front-0"), cacheindex.New())
	placer.SetInputs(t0, in)
	return placer
}

func newPrompt(shared string) core.Prompt {
	return core.Prompt{Model: model, Tokens: 3000, MaxOutputTokens: 20, Parts: []core.Part{
		{ID: core.PartID(shared), Tokens: 2000}, {ID: "own", Tokens: 1000},
	}}
}

func newPlainRequest() Request { return Request{Service: plainService} }

// Guards against calls to upstreams that are draining, in an evacuated failure
// domain or unreachable, or that were tried before.
func TestChooseExcludesUpstreams(t *testing.T) {
	cases := map[string]func(in *Inputs, req *Request){
		"draining upstreams": func(in *Inputs, _ *Request) {
			for _, u := range in.Upstreams {
				u.Draining = u.Service == plainService && u.ID != "records-2"
			}
		},
		"an evacuated failure domain": func(in *Inputs, _ *Request) {
			in.Evacuated = map[core.FailureDomain]bool{"d0": true, "d1": true}
		},
		"upstreams tried before": func(_ *Inputs, req *Request) {
			req.TriedUpstreams = []core.UpstreamID{"records-0", "records-1"}
		},
		"upstreams that cannot be reached": func(*Inputs, *Request) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			in, req := newInputs(1), newPlainRequest()
			prepare(&in, &req)
			placer := newPlacer(in)
			if name == "upstreams that cannot be reached" {
				makeUnreachable(t, placer, "records-0")
				makeUnreachable(t, placer, "records-1")
			}
			for range 10 {
				choice, refusal := placer.Choose(t0, req)
				require.Equal(t, NotRefused, refusal)
				require.Equal(t, core.UpstreamID("records-2"), choice.Upstream.ID)
			}
		})
	}
}

func makeUnreachable(t *testing.T, placer *Placer, id core.UpstreamID) {
	t.Helper()
	req := newPlainRequest()
	for _, u := range placer.byService[plainService] {
		if u.row.ID != id {
			req.TriedUpstreams = append(req.TriedUpstreams, u.row.ID)
		}
	}
	choice, refusal := placer.Choose(t0, req)
	require.Equal(t, NotRefused, refusal)
	placer.RecordReport(t0, Report{AttemptID: choice.AttemptID, Upstream: id, Final: true, Result: Unreachable})
}

// Guards against a cold upstream that receives more calls than it can sustain from
// all processes together, for any number of processes.
func TestColdLimitAppliesToAllProcessesTogether(t *testing.T) {
	for _, fronts := range []int{1, 3, 4, 27, 100} {
		in := newInputs(fronts)
		in.Upstreams = in.Upstreams[:1]
		in.Upstreams[0].ColdRemaining = 3 * time.Second
		total := 0
		for _, node := range in.Fronts {
			placer := New(options(node), cacheindex.New())
			placer.SetInputs(t0.Add(-time.Minute), Inputs{Fronts: in.Fronts})
			placer.SetInputs(t0, in)
			for i := range 50 {
				at := t0.Add(time.Duration(i) * 20 * time.Millisecond)
				if _, refusal := placer.Choose(at, Request{Service: engines, Prompt: newPrompt("a")}); refusal == NotRefused {
					total++
				}
			}
		}
		const limit = 21 // 11 a second x 1.5 + 5
		require.LessOrEqual(t, total, limit, "%d fronts", fronts)
		require.Greater(t, total, limit/2, "%d fronts", fronts)
	}
}

// Guards against a local limit that does not change when a process is added or
// removed: all processes together would send more calls than a cold upstream can
// sustain, or fewer.
func TestLocalLimitDependsOnNumberOfProcesses(t *testing.T) {
	const total = 21 // 11 a second x 1.5 + 5
	few, many := newInputs(2), newInputs(40)
	sums := make(map[int]int)
	for _, node := range many.Fronts {
		placer := New(options(node), cacheindex.New())
		for i, in := range []Inputs{few, many, few, many} {
			changedAt := t0.Add(time.Duration(i) * time.Minute)
			now := changedAt.Add(quota.ArrivalDelay)
			placer.SetInputs(changedAt, in)
			u := placer.byService[engines][0]
			if !slices.Contains(in.Fronts, node) {
				require.Zero(t, placer.localLimit(now, total, u), "the others use the whole limit")
				continue
			}
			sums[len(in.Fronts)] += placer.localLimit(now, total, u)
			require.InDelta(t, total/len(in.Fronts), placer.localLimit(now, total, u), 1)
		}
	}
	require.Equal(t, map[int]int{2: 2 * total, 40: 2 * total}, sums, "each number of processes is set twice")
}

// Guards against a process that stops and continues to send its share of the calls to
// a cold upstream while the others, which no longer count it, use all of them, and
// against others that use its share before the calls that it has sent have passed.
func TestStoppingProcessUsesNoShare(t *testing.T) {
	in := newInputs(3)
	in.Upstreams = in.Upstreams[:1]
	in.Upstreams[0].ColdRemaining = 5 * time.Second
	stopping := in.Fronts[0]
	total := 0
	for _, node := range in.Fronts {
		placer := New(options(node), cacheindex.New())
		placer.SetInputs(t0.Add(-time.Minute), Inputs{Fronts: in.Fronts})
		placer.SetInputs(t0, in)
		after := in
		after.Fronts = slices.DeleteFunc(slices.Clone(in.Fronts), func(n core.NodeID) bool { return n == stopping })
		for i := range 50 {
			at := t0.Add(time.Duration(i) * 20 * time.Millisecond)
			if i == 25 {
				placer.SetInputs(at, after)
			}
			if _, refusal := placer.Choose(at, Request{Service: engines, Prompt: newPrompt("a")}); refusal == NotRefused {
				total++
			}
		}
	}
	require.LessOrEqual(t, total, 21) // 11 a second x 1.5 + 5
}

// Guards against a process that uses its share of a limit twice when it restarts
// within the interval in which calls are counted, and against a budget that is full
// again after each change of the number of processes. A cold upstream gets no call
// until the process has counted its calls for a complete interval (see admit.Gate).
func TestRestartDoesNotRenewLimits(t *testing.T) {
	in := newInputs(1)
	in.Upstreams = append(in.Upstreams[:1], in.Upstreams[4:]...)
	in.Upstreams[0].ColdRemaining = 3 * time.Second
	placer := New(options(in.Fronts[0]), cacheindex.New())
	placer.SetInputs(t0, in)
	req := Request{Service: engines, Prompt: newPrompt("a")}
	_, refusal := placer.Choose(t0.Add(time.Second), req)
	require.Equal(t, Limited, refusal)
	_, refusal = placer.Choose(t0.Add(1100*time.Millisecond), req)
	require.Equal(t, NotRefused, refusal)

	retryReq := newPlainRequest()
	retryReq.Retry = true
	spendRetries := func(at time.Time) (spent int) {
		for range 60 {
			if _, refusal := placer.Choose(at, retryReq); refusal == NotRefused {
				spent++
			}
		}
		return spent
	}
	require.LessOrEqual(t, spendRetries(t0), 13, "retries before the restart may have used all but a quarter of the slack")
	later := t0.Add(time.Minute)
	require.InDelta(t, 19, spendRetries(later), 1, "the retries that accumulate in a minute")
	more := newInputs(2)
	more.Upstreams = in.Upstreams
	placer.SetInputs(later, more)
	_, refusal = placer.Choose(later, retryReq)
	require.Equal(t, NoRetryBudget, refusal)
}

// Guards against retries that exceed the budget of all processes together.
func TestRetryBudgetAppliesToAllProcessesTogether(t *testing.T) {
	for _, fronts := range []int{1, 4, 27} {
		in := newInputs(fronts)
		retries, calls := 0, 0
		for _, node := range in.Fronts {
			placer := New(options(node), cacheindex.New())
			placer.SetInputs(t0, in)
			for i := range 200 {
				at := t0.Add(time.Duration(i) * 50 * time.Millisecond)
				if i%10 == 0 {
					_, refusal := placer.Choose(at, newPlainRequest())
					require.Equal(t, NotRefused, refusal)
					calls++
				}
				if _, refusal := placer.Choose(at, Request{Service: plainService, Retry: true}); refusal == NotRefused {
					retries++
				}
			}
		}
		require.LessOrEqual(t, float64(retries), 0.2*float64(calls)+52, "%d fronts", fronts)
	}
}

// Guards against calls that start on older weights after the fraction
// weightChangeShare of the timeout.
func TestOldWeightsAreNotUsedWhenOverdue(t *testing.T) {
	in := newInputs(1)
	in.Upstreams[0].Weights = map[core.ModelID]catalog.WeightNumber{model: 2}
	in.WeightHistory = map[core.ModelID]catalog.WeightHistory{}
	cases := map[string]struct {
		requestedAt   time.Time
		elapsed       time.Duration
		onlyNewest    bool
		laterRequests catalog.WeightHistory
	}{
		"just requested":                       {t0, 100 * time.Millisecond, false, nil},
		"overdue":                              {t0, 9 * time.Second, true, nil},
		"requested before the process started": {time.Time{}, 0, true, nil},
		"overdue, with a later request": {
			t0, 9 * time.Second, true, catalog.WeightHistory{{Version: 3, RequestedAt: t0.Add(8 * time.Second)}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			in.WeightHistory[model] = append(catalog.WeightHistory{{Version: 2, RequestedAt: c.requestedAt}}, c.laterRequests...)
			placer := newPlacer(in)
			seen := make(map[catalog.WeightNumber]bool)
			for i := range 20 {
				choice, refusal := placer.Choose(t0.Add(c.elapsed), Request{Service: engines, Prompt: newPrompt(fmt.Sprint(i))})
				if refusal == NotRefused {
					seen[choice.Weights] = true
				}
			}
			require.Equal(t, c.onlyNewest, !seen[1])
			require.True(t, seen[2])
		})
	}
}

// Guards against a call that is not repeatable and is sent to a suspect upstream
// although others can be used. Only repeatable calls may be sent there as trials.
func TestSuspectUpstreamGetsOnlyTrials(t *testing.T) {
	placer := newPlacer(newInputs(1))
	bad := core.UpstreamID("records-0")
	for range 6 {
		req := Request{Service: plainService, TriedUpstreams: []core.UpstreamID{"records-1", "records-2"}, Repeatable: true}
		choice, refusal := placer.Choose(t0, req)
		require.Equal(t, NotRefused, refusal)
		placer.RecordReport(t0, Report{AttemptID: choice.AttemptID, Upstream: bad, Final: true, Result: Failed})
	}
	for range 30 {
		choice, refusal := placer.Choose(t0.Add(time.Millisecond), newPlainRequest())
		require.Equal(t, NotRefused, refusal)
		require.NotEqual(t, bad, choice.Upstream.ID)
	}
}

// Guards against cached parts that are used across the boundary of an isolated
// workspace or across weight versions.
func TestSaltSeparatesWorkspacesAndWeights(t *testing.T) {
	none := newIsolation()
	open := &catalog.Workspace{ID: "open"}
	isolated := &catalog.Workspace{ID: "isolated", Isolated: true}
	salt := func(version catalog.WeightNumber, w *catalog.Workspace) string {
		return Salt(model, version, none.scope(w))
	}
	require.Equal(t, salt(1, open), salt(1, nil))
	require.NotEqual(t, salt(1, isolated), salt(1, open))
	require.NotEqual(t, salt(1, isolated), salt(1, &catalog.Workspace{ID: "other", Isolated: true}))
	require.NotEqual(t, salt(1, open), salt(2, open))
	fields, ok := ParseSalt(Salt("a/b", 7, none.scope(isolated)))
	require.True(t, ok)
	require.Equal(t, SaltFields{Model: "a/b", Weights: 7, Scope: "=isolated"}, fields)
	_, ok = ParseSalt("foreign")
	require.False(t, ok)
}

// Guards against a part that is read although another server has it, and against
// fetching a part that a server has not reported itself.
func TestPlanFetchesFromServers(t *testing.T) {
	part := cacheindex.Key{Salt: Salt(model, 1, commonScope), ID: "a"}
	placer := newPlacer(newInputs(1))
	placer.EventSources(t0) // records the addresses of the servers
	req := Request{Service: engines, Prompt: newPrompt("a"), TriedUpstreams: []core.UpstreamID{"engines-1", "engines-2", "engines-3"}}

	choice, _ := placer.Choose(t0, req)
	require.Equal(t, []string{"", ""}, choice.FetchFrom)
	require.Equal(t, 3000, choice.ReadTokens)

	other := "10.0.7.1:80" // engines-1
	req.Prompt = newPrompt("b")
	placer.upstreams["engines-1"].addCachedPart(cacheindex.Key{Salt: part.Salt, ID: "b"}, partState{tokens: 2000}, 50_000)
	placer.upstreams["engines-1"].lastEventAt = t0
	choice, _ = placer.Choose(t0, req)
	require.Equal(t, []string{"", ""}, choice.FetchFrom, "an assumed part is not a source")

	req.Prompt = newPrompt("c")
	change := CacheChange{ReceivedAt: t0, Added: []cacheindex.CachedPart{{Key: cacheindex.Key{Salt: part.Salt, ID: "c"}, Tokens: 2000}}}
	require.True(t, placer.ApplyCacheChange(other, change))
	choice, _ = placer.Choose(t0, req)
	require.Equal(t, []string{other, ""}, choice.FetchFrom)
	require.Equal(t, 2000, choice.FetchedTokens)
	require.Equal(t, 1000, choice.ReadTokens)
}

// Guards against finished attempts that remain recorded at an upstream.
func TestRecordReportReleasesAttempts(t *testing.T) {
	placer := newPlacer(newInputs(1))
	choice, _ := placer.Choose(t0, Request{Service: engines, Prompt: newPrompt("a")})
	u := placer.upstreams[choice.Upstream.ID]
	require.Equal(t, 3000, u.unreadTokens)
	placer.RecordReport(t0, Report{AttemptID: choice.AttemptID, Upstream: u.row.ID})
	require.Zero(t, u.unreadTokens)
	require.Equal(t, 3020, u.memoryTokens)
	placer.RecordReport(t0, Report{AttemptID: choice.AttemptID, Upstream: u.row.ID, Final: true, Result: Completed})
	require.Zero(t, u.memoryTokens)
	require.Empty(t, u.attempts)
}

// Guards against fetches over a slow link while reading the part is faster.
func TestSlowLinkIsAvoidedUntilItRecovers(t *testing.T) {
	placer := newPlacer(newInputs(1))
	placer.cacheIndex.SetContent(t0, storeAddress, 1, []cacheindex.CachedPart{{Key: cacheindex.Key{Salt: Salt(model, 1, commonScope), ID: "a"}, Tokens: 2000}})
	req := Request{Service: engines, Prompt: newPrompt("a"), TriedUpstreams: []core.UpstreamID{"engines-1", "engines-2", "engines-3"}}
	choice, _ := placer.Choose(t0, req)
	require.Equal(t, storeAddress, choice.FetchFrom[0])
	for range 12 {
		placer.link(storeAddress).observe(t0, 10, 200)
	}
	placer.upstreams["engines-0"].clearCache()
	choice, _ = placer.Choose(t0.Add(time.Millisecond), req)
	require.Empty(t, choice.FetchFrom[0])
	later := t0.Add(15 * time.Second)
	placer.cacheIndex.SetContent(later, storeAddress, 1, []cacheindex.CachedPart{{Key: cacheindex.Key{Salt: Salt(model, 1, commonScope), ID: "a"}, Tokens: 2000}})
	placer.upstreams["engines-0"].clearCache()
	choice, _ = placer.Choose(later, req)
	require.Equal(t, storeAddress, choice.FetchFrom[0])
}

// Guards against freeing parts that a server with older weights may still fetch.
func TestPartsAreObsoleteOnlyWhenNoUpstreamHasTheirWeights(t *testing.T) {
	in := newInputs(1)
	placer := newPlacer(in)
	old := Salt(model, 1, commonScope)
	later := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	for i := range 3 {
		placer.RecordReport(t0, Report{Upstream: core.UpstreamID(fmt.Sprintf("engines-%d", i)), Model: model, Weights: 2})
	}
	placer.UpdateOldestWeights(t0)
	require.False(t, placer.Obsolete(later(100), old), "engines-3 has the older weights")
	placer.RecordReport(later(100), Report{Upstream: "engines-3", Model: model, Weights: 2})
	placer.UpdateOldestWeights(later(100))
	require.False(t, placer.Obsolete(later(101), old), "a transfer may be in progress")
	require.True(t, placer.Obsolete(later(104), old))
	require.False(t, placer.Obsolete(later(104), Salt(model, 2, commonScope)))
	require.False(t, placer.Obsolete(later(104), "of another writer"))
}

// Guards against the end of a long stream that replaces the load of its upstream by the
// one that the head of the stream stated, perhaps seconds before.
func TestFinalReportDoesNotRepeatTheLoad(t *testing.T) {
	pl := newPlacer(newInputs(1))
	pl.RecordReport(t0, Report{Upstream: "engines-0", Load: core.NewUpstreamLoad(3, 0)})
	pl.RecordReport(t0, Report{Upstream: "engines-0", Load: core.NewUpstreamLoad(40, 0), Final: true, Result: Completed})
	require.InDelta(t, 3, pl.upstreams["engines-0"].load(t0), 0.01)
}
