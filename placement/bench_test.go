package placement

import (
	"fmt"
	"testing"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// BenchmarkChoose measures the placement of one call and its reports by number of
// upstreams, for docs/CAPACITY.md.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 50, 300, 476, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			in := newInputs(1800) // the planned number of fronts
			in.Upstreams = newUpstreams(engines, n)
			placer := newPlacer(in)
			now := t0
			prompts := make([]core.Prompt, 64)
			for i := range prompts {
				prompts[i] = newPrompt(fmt.Sprint(i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(50 * time.Millisecond)
				choice, refusal := placer.Choose(now, Request{Service: engines, Prompt: prompts[i%len(prompts)]})
				if refusal != NotRefused {
					b.Fatal(refusal)
				}
				r := Report{AttemptID: choice.AttemptID, Upstream: choice.Upstream.ID, Model: model, Weights: 1, Load: core.NewUpstreamLoad(3, 0)}
				placer.RecordReport(now, r)
				r.Final = true
				placer.RecordReport(now, r)
			}
		})
	}
}

// BenchmarkSetWorld measures Placer.SetInputs with one changed row in the list of
// upstreams. Its name is stable so that results can be compared between versions.
func BenchmarkSetWorld(b *testing.B) {
	for _, n := range []int{50, 1000, 10_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			in := newInputs(4)
			in.Upstreams = newUpstreams(engines, n)
			placer := newPlacer(in)
			b.ReportAllocs()
			for b.Loop() {
				changed := *in.Upstreams[0].Upstream
				in.Upstreams[0] = catalog.UpstreamRow{Upstream: &changed, RowVersion: in.Upstreams[0].RowVersion + 1}
				placer.SetInputs(t0, in)
			}
		})
	}
}

// BenchmarkPauseOfSource measures the list of sources of cache events after a pause has
// started or ended, by number of fronts and upstreams. Each pause needs two such lists.
func BenchmarkPauseOfSource(b *testing.B) {
	for _, c := range []struct{ fronts, upstreams int }{{20, 60}, {60, 200}, {1800, 476}, {1800, 10_000}} {
		b.Run(fmt.Sprintf("fronts=%d,upstreams=%d", c.fronts, c.upstreams), func(b *testing.B) {
			in := newInputs(c.fronts)
			in.Config.Services[engines].Engine.EventReaders = 8
			in.Upstreams = newUpstreams(engines, c.upstreams)
			placer := newPlacer(in)
			placer.EventSources(t0)
			b.ReportAllocs()
			for b.Loop() {
				placer.RefreshEventSources(t0)
			}
		})
	}
}
