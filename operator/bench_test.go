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

// ignore drops reports.
type ignore struct{}

func (ignore) ReportSamples(RolloutKey, uint64) {}

// BenchmarkSample measures one sample of a model under rollout.
func BenchmarkSample(b *testing.B) {
	w := newWorld(12, time.Hour)
	log := logrus.New()
	log.SetOutput(io.Discard)
	bench := &bench{
		JudgeOptions: JudgeOptions{
			Control: &holder{world: w}, EntryCount: func() int { return 3 }, SampleReporter: ignore{}, Limits: rollout.DefaultLimits(), Log: log,
		},
		trials: make(map[core.ModelID]*trial),
	}
	bench.follow(context.Background(), w.view)
	s := entry.Sample{Model: "gate", Workspace: "w", TimeToFirstToken: 100 * time.Millisecond, TimePerToken: 20 * time.Millisecond, FinishedAt: time.Now()}
	versions := []core.WeightVersion{"v1", "v2"}
	for n := 0; b.Loop(); n++ {
		s.Version = versions[n%2]
		s.FinishedAt = s.FinishedAt.Add(10 * time.Millisecond)
		bench.add(context.Background(), s)
	}
}
