package placement

import (
	"fmt"
	"testing"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// BenchmarkChoose measures one placed call and its reports by the number of
// upstreams, for docs/CAPACITY.md.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 50, 300, 476, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			w := world(1800) // fronts at the target size
			w.Upstreams = listed(engines, n)
			tab := table(w)
			now := t0
			prompts := make([]core.Prompt, 64)
			for i := range prompts {
				prompts[i] = prompt(fmt.Sprint(i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(50 * time.Millisecond)
				choice, refusal := tab.Choose(now, Request{Service: engines, Prompt: prompts[i%len(prompts)]})
				if refusal != Placed {
					b.Fatal(refusal)
				}
				r := Report{AttemptID: choice.AttemptID, Upstream: choice.Upstream.ID, Model: model, Weights: 1, Load: 3, HasLoad: true}
				tab.RecordReport(now, r)
				r.Final = true
				tab.RecordReport(now, r)
			}
		})
	}
}

// BenchmarkSetWorld measures a changed entry of the list of upstreams.
func BenchmarkSetWorld(b *testing.B) {
	for _, n := range []int{50, 1000, 10_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			w := world(4)
			w.Upstreams = listed(engines, n)
			tab := table(w)
			b.ReportAllocs()
			for b.Loop() {
				changed := *w.Upstreams[0].Upstream
				w.Upstreams[0] = catalog.ListedUpstream{Upstream: &changed, Revision: w.Upstreams[0].Revision + 1}
				tab.SetInputs(t0, w)
			}
		})
	}
}
