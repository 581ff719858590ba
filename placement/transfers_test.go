package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/core"
)

// storeParts returns a placer whose store contains the parts shared-0 to shared-(n-1).
func storeParts(now time.Time, n int) *Placer {
	index := cacheindex.New()
	placer := New(options("front-0"), index)
	in := newInputs(4)
	in.Config.CacheStores[0].CapacityTokens = 4_000 * n
	in.Config.Services[engines].Engine.CacheTokens = 10_000_000 // no call waits for memory
	placer.SetInputs(now, in)
	var parts []cacheindex.CachedPart
	for i := range n {
		key := cacheindex.Key{Salt: Salt(model, 1, commonScope), ID: core.PartID(fmt.Sprintf("shared-%d", i))}
		parts = append(parts, cacheindex.CachedPart{Key: key, Tokens: 2000})
	}
	index.SetContent(now, storeAddress, 1, parts)
	return placer
}

// Guards against reading parts again instead of fetching them because engines with many
// calls respond late. The additional reading makes the engines later still.
func TestLateEnginesDoNotStopFetches(t *testing.T) {
	const calls, interval, lateness = 80, 100 * time.Millisecond, time.Second
	placer := storeParts(t0, calls)
	var pending []sentCall
	for i := range calls {
		now := t0.Add(time.Duration(i) * interval)
		placer.cacheIndex.ApplyEvents(now, storeAddress, 1, nil, nil)
		choice := mustPlace(t, placer, now, fmt.Sprintf("shared-%d", i))
		require.Equal(t, 2000, choice.FetchedTokens, "call %d", i)
		pending = append(pending, sentCall{now, choice})
		for _, u := range placer.byService[engines] {
			pending = append(pending, sentCall{now, placeUnshared(t, placer, now, u)})
		}
		for len(pending) > 0 && now.Sub(pending[0].at) >= lateness {
			answered := pending[0].choice
			pending = pending[1:]
			placer.RecordReport(now, Report{AttemptID: answered.AttemptID, Upstream: answered.Upstream.ID, FirstByte: lateness})
			placer.RecordReport(now, Report{AttemptID: answered.AttemptID, Upstream: answered.Upstream.ID, Final: true, Result: Completed})
		}
	}
}

// sentCall is a call that waits for its response.
type sentCall struct {
	at     time.Time
	choice Choice
}

// placeUnshared places a call without shared parts at an upstream.
func placeUnshared(t *testing.T, placer *Placer, now time.Time, at *upstream) Choice {
	t.Helper()
	prompt := core.Prompt{Model: model, Tokens: 100, MaxOutputTokens: 20, Parts: []core.Part{{ID: "own", Tokens: 100}}}
	choice, refusal := placer.Choose(now, Request{Service: engines, Prompt: prompt, TriedUpstreams: others(placer, at.row.ID)})
	require.Equal(t, NotRefused, refusal)
	return choice
}

// others returns the engines other than one.
func others(placer *Placer, id core.UpstreamID) []core.UpstreamID {
	var out []core.UpstreamID
	for _, u := range placer.byService[engines] {
		if u.row.ID != id {
			out = append(out, u.row.ID)
		}
	}
	return out
}

// Guards against reading a whole prompt again because its first part, which the engine
// has evicted, had no source although a store contains it.
func TestCachedPartsHaveASource(t *testing.T) {
	placer := storeParts(t0, 1)
	first := mustPlace(t, placer, t0, "shared-0")
	now := t0.Add(100 * time.Millisecond)
	placer.upstreams[first.Upstream.ID].fetchBusyUntil = now.Add(time.Minute)
	choice, refusal := placer.Choose(now, Request{Service: engines, Prompt: newPrompt("shared-0"), TriedUpstreams: others(placer, first.Upstream.ID)})
	require.Equal(t, NotRefused, refusal)
	require.Equal(t, storeAddress, choice.FetchFrom[0])
}

func mustPlace(t *testing.T, placer *Placer, now time.Time, shared string) Choice {
	t.Helper()
	choice, refusal := placer.Choose(now, Request{Service: engines, Prompt: newPrompt(shared)})
	require.Equal(t, NotRefused, refusal)
	return choice
}

// Guards against the lateness of an earlier incarnation that is attributed to the engine
// after its restart, so that a slow link is not noticed.
func TestRestartEndsLateness(t *testing.T) {
	in := newInputs(1)
	placer := newPlacer(in)
	u := placer.upstreams["engines-0"]
	choice := placeUnshared(t, placer, t0, u)
	now := t0.Add(time.Second)
	placer.RecordReport(now, Report{AttemptID: choice.AttemptID, Upstream: u.row.ID, FirstByte: time.Second})
	require.Positive(t, u.engineLatenessMs(now))
	restarted := *in.Upstreams[0].Upstream
	restarted.StartedAtMs = 7
	in.Upstreams[0].Upstream, in.Upstreams[0].RowVersion = &restarted, 2
	placer.SetInputs(now, in)
	require.Zero(t, u.engineLatenessMs(now))
}
