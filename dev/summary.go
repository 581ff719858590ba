package dev

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingtide.example/waxwingtide/core"
)

// Summary is the outcome of one run.
type Summary struct {
	Prompts       int `json:"prompts"`
	PromptsFailed int `json:"prompts_failed"`
	// Refused counts prompts and records that were refused as not run.
	Refused      int        `json:"refused"`
	FirstToken   ClassTimes `json:"ttft_ms"`
	InterToken   ClassTimes `json:"inter_token_ms"`
	Recomputed   float64    `json:"recomputed_share"`
	LinkUse      float64    `json:"link_use"`
	Records      int        `json:"records"`
	RecordsOpen  int        `json:"records_unknown"`
	Lookups      int        `json:"lookups"`
	RolloutStage string     `json:"rollout_stage,omitempty"`
	Counters
	// BadVersionShare is the part of prompts that the bad version got after its
	// rollout began.
	BadVersionShare float64 `json:"bad_version_share"`
	// BadVersionSeconds is the time from the sign-off of the rollout to the last
	// prompt on its version.
	BadVersionSeconds float64 `json:"bad_version_seconds"`
	// FaultErrors counts fault steps that could not be carried out.
	FaultErrors int      `json:"fault_errors"`
	Baseline    *Summary `json:"baseline,omitempty"`
}

// Counters are the invariants. Each is zero in a correct run.
type Counters struct {
	RecordsLost    int `json:"records_lost"`
	RecordsDoubled int `json:"records_doubled"`
	WrongAnswers   int `json:"wrong_answers"`
	FalseNotRun    int `json:"false_not_run"`
	CrossWorkspace int `json:"cross_workspace"`
	StaleBlocks    int `json:"stale_blocks"`
	OverloadedCold int `json:"overloaded_cold"`
	AfterDrain     int `json:"after_drain"`
	StaleOrders    int `json:"stale_orders"`
	CutByStop      int `json:"cut_by_stop"`
}

// violated reports whether an invariant was broken.
func (c Counters) violated() bool { return c != Counters{} }

// ClassTimes are percentiles for each class, in milliseconds.
type ClassTimes struct {
	Urgent     Percentiles `json:"urgent"`
	Deferrable Percentiles `json:"deferrable"`
}

// Percentiles of a distribution, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// times collects durations from 1 µs to 10 minutes with three digits.
type times struct{ *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)} }

func (t times) add(d time.Duration) { _ = t.RecordValue(max(1, d.Microseconds())) }

func (t times) percentiles() Percentiles {
	at := func(q float64) float64 { return float64(t.ValueAtQuantile(q)) / 1000 }
	return Percentiles{at(50), at(95), at(99)}
}

// collector sums up the results of the callers.
type collector struct {
	summary    Summary
	firstToken [2]times
	interToken [2]times
	tokens     int
	recomputed int
}

func newCollector() *collector {
	return &collector{
		firstToken: [2]times{newTimes(), newTimes()},
		interToken: [2]times{newTimes(), newTimes()},
	}
}

func (c *collector) add(r *result) {
	if r.cutByStop {
		c.summary.CutByStop++
	}
	if r.wrong {
		c.summary.WrongAnswers++
	}
	switch {
	case !r.whole && r.notRun:
		c.summary.Refused++
	case r.item.kind == kindPrompt && !r.whole:
		c.summary.PromptsFailed++
	case r.item.kind == kindPrompt:
		c.addPrompt(r)
	case r.item.kind == kindLookup && r.whole:
		c.summary.Lookups++
	case r.item.kind == kindRecord && r.whole:
		c.summary.Records++
	case r.item.kind == kindRecord:
		c.summary.RecordsOpen++
	}
}

func (c *collector) addPrompt(r *result) {
	c.summary.Prompts++
	c.firstToken[r.item.class].add(r.firstToken)
	for _, gap := range r.gaps {
		c.interToken[r.item.class].add(gap)
	}
	c.tokens += r.usage.PromptTokens
	c.recomputed += r.usage.PromptTokens - r.usage.CachedTokens
}

func (c *collector) finish() Summary {
	s := c.summary
	s.FirstToken = ClassTimes{c.firstToken[core.Urgent].percentiles(), c.firstToken[core.Deferrable].percentiles()}
	s.InterToken = ClassTimes{c.interToken[core.Urgent].percentiles(), c.interToken[core.Deferrable].percentiles()}
	if c.tokens > 0 {
		s.Recomputed = float64(c.recomputed) / float64(c.tokens)
	}
	return s
}

// print writes the summary as a table, with the baseline beside it.
func (s *Summary) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	base := s.Baseline
	row := func(name, format string, value func(*Summary) any) {
		fmt.Fprintf(w, "%s\t"+format, name, value(s))
		if base != nil {
			fmt.Fprintf(w, "\t"+format, value(base))
		}
		fmt.Fprintln(w)
	}
	if base != nil {
		fmt.Fprintln(w, "measure\trun\tbaseline")
	}
	row("prompts", "%d", func(s *Summary) any { return s.Prompts })
	row("prompts failed", "%d", func(s *Summary) any { return s.PromptsFailed })
	row("refused", "%d", func(s *Summary) any { return s.Refused })
	for _, class := range []struct {
		name string
		of   func(ClassTimes) Percentiles
	}{
		{"urgent", func(t ClassTimes) Percentiles { return t.Urgent }},
		{"deferrable", func(t ClassTimes) Percentiles { return t.Deferrable }},
	} {
		row(class.name+" first token p50 ms", "%.1f", func(s *Summary) any { return class.of(s.FirstToken).P50 })
		row(class.name+" first token p95 ms", "%.1f", func(s *Summary) any { return class.of(s.FirstToken).P95 })
		row(class.name+" first token p99 ms", "%.1f", func(s *Summary) any { return class.of(s.FirstToken).P99 })
		row(class.name+" between tokens p95 ms", "%.1f", func(s *Summary) any { return class.of(s.InterToken).P95 })
	}
	row("recomputed share", "%.3f", func(s *Summary) any { return s.Recomputed })
	row("link use", "%.3f", func(s *Summary) any { return s.LinkUse })
	row("records", "%d", func(s *Summary) any { return s.Records })
	row("records unknown", "%d", func(s *Summary) any { return s.RecordsOpen })
	row("lookups", "%d", func(s *Summary) any { return s.Lookups })
	row("bad version share", "%.3f", func(s *Summary) any { return s.BadVersionShare })
	row("invariant counters", "%+v", func(s *Summary) any { return s.Counters })
	return w.Flush()
}
