package operator

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/entry"
	"waxwingtide.example/waxwingtide/rollout"
)

// discardReporter discards reported counts.
type discardReporter struct{}

func (discardReporter) ReportSamples(RolloutKey, uint64) {}

// BenchmarkSample measures the processing of one sample of a model with a rollout.
func BenchmarkSample(b *testing.B) {
	f := newFixture(12, time.Hour)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &judgeDuty{
		JudgeOptions: JudgeOptions{
			Control: &fakeControl{fixture: f}, EntryCount: func() int { return 3 }, SampleReporter: discardReporter{}, Limits: rollout.DefaultLimits(), Log: log,
		},
		tests: make(map[core.ModelID]*rolloutTest),
	}
	d.updateTests(context.Background(), f.view)
	s := entry.Sample{Model: "gate", Workspace: "w", EngineTimeToFirstToken: 100 * time.Millisecond, TimePerToken: 20 * time.Millisecond, FinishedAt: time.Now()}
	versions := []core.WeightVersion{"v1", "v2"}
	for n := 0; b.Loop(); n++ {
		s.Version = versions[n%2]
		s.FinishedAt = s.FinishedAt.Add(10 * time.Millisecond)
		d.addSample(context.Background(), s)
	}
}
