package sharing

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/wire"
)

// BenchmarkMessage reports the sizes of what the fronts exchange beside the loads.
func BenchmarkMessage(b *testing.B) {
	crash := quarantine.Crash{Incarnation: quarantine.Incarnation{Upstream: "i-e2e9145aec", StartedAtMs: 1_800_000_000_000}, Reporter: "front-celaya-1", ObservedAt: boardNow}
	for i := range 8 {
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{
			Model: "model-000001", LastPart: core.PartID(fmt.Sprintf("%012x", i)), Shared: []core.PartID{"a1979a9a31e0", "a05928d8452a"},
		})
	}
	part := quarantine.Part{Model: "model-000001", ID: "12ca9047f126"}
	sizes := map[string]proto.Message{
		"crash_with_8_suspects_B": encodeEvidence(boardNow, quarantine.Evidence{Crashes: []quarantine.Crash{crash}}),
		"answer_B":                encodeEvidence(boardNow, quarantine.Evidence{Answers: []quarantine.Answer{{Part: part, AnsweredAt: boardNow}}}),
		"state_B":                 encodeEvidence(boardNow, quarantine.Evidence{States: []quarantine.State{{Part: part, Version: 3, Until: boardNow}}}),
		"rate_B": &wire.ShareRequest{Seen: encodeObservations(boardNow, []Observation{
			{Upstream: "i-e2e9145aec", HasRateLimit: true, RateLimit: core.RateLimit{Limited: true, PerSecond: 2.3}, ObservedAt: boardNow},
		})},
		"links_16_B": &wire.ShareRequest{Links: encodeLinkDelays(manyDelays(16))},
		"verdict_B":  &wire.ShareRequest{Verdicts: encodeVerdicts([]canary.Verdict{{Service: "dele69a", Version: "v2", RequestRowVersion: 1000, Withdrawn: true}})},
	}
	for b.Loop() {
		for name, message := range sizes {
			b.ReportMetric(float64(proto.Size(message)), name)
		}
	}
}
