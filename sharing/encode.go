package sharing

import (
	"math"
	"time"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/wire"
)

func encodeObservations(now time.Time, observations []Observation) []*wire.Observation {
	out := make([]*wire.Observation, len(observations))
	for i, o := range observations {
		out[i] = &wire.Observation{
			Upstream: string(o.Upstream), HasLoad: o.HasLoad, Load: uint32(max(o.Load, 0)), //nolint:gosec // loads are small
			Unreachable: o.Unreachable, Reporter: string(o.Reporter), AgeMs: ageMs(now, o.ObservedAt),
			HasRate: o.HasRateLimit, RateLimited: o.RateLimit.Limited, Rate: o.RateLimit.PerSecond,
			Leaving: o.Leaving, StartedAtMs: o.StartedAtMs,
			Waiting:         uint32(max(o.Waiting, 0)), //nolint:gosec // loads are small
			SlowdownPercent: encodePercent(o.Slowdown), SlowdownSamplePercent: encodePercent(o.SlowdownSample),
		}
	}
	return out
}

func decodeObservations(now time.Time, observations []*wire.Observation) []Observation {
	out := make([]Observation, len(observations))
	for i, o := range observations {
		out[i] = Observation{
			Upstream: core.UpstreamID(o.Upstream), HasLoad: o.HasLoad, Load: int(o.Load), Unreachable: o.Unreachable,
			Reporter: core.NodeID(o.Reporter), ObservedAt: timeOf(now, o.AgeMs),
			HasRateLimit: o.HasRate, RateLimit: core.RateLimit{Limited: o.RateLimited, PerSecond: o.Rate},
			Leaving: o.Leaving, StartedAtMs: o.StartedAtMs,
			Waiting: int(o.Waiting), Slowdown: decodePercent(o.SlowdownPercent), SlowdownSample: decodePercent(o.SlowdownSamplePercent),
		}
	}
	return out
}

// maxPercent is the largest ratio that is encoded, in percent.
const maxPercent = 100_000

// encodePercent returns a ratio in percent. A ratio that is not 0 is at least 1.
func encodePercent(ratio float64) uint32 {
	if !(ratio > 0) {
		return 0
	}
	return uint32(min(max(math.Round(ratio*100), 1), maxPercent))
}

func decodePercent(percent uint32) float64 { return float64(min(percent, maxPercent)) / 100 }

// ageMs returns the age of a time in milliseconds. Messages contain ages, since the
// clocks of processes differ.
func ageMs(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), maxAgeMs)) //nolint:gosec // within the bounds
}

// maxAgeMs is the largest age that is encoded.
const maxAgeMs = 1<<32 - 1

func timeOf(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// encodeEvidence returns nil for empty evidence.
func encodeEvidence(now time.Time, e quarantine.Evidence) *wire.PartEvidence {
	if e.Empty() {
		return nil
	}
	out := new(wire.PartEvidence)
	for _, c := range e.Crashes {
		out.Crashes = append(out.Crashes, &wire.UpstreamCrash{
			Upstream: string(c.Upstream), StartedAtMs: c.StartedAtMs, Reporter: string(c.Reporter), AgeMs: ageMs(now, c.ObservedAt),
			Suspects: encodeSuspects(c.Suspects),
		})
	}
	for _, a := range e.Answers {
		out.Answers = append(out.Answers, &wire.PartAnswer{Model: string(a.Model), Id: string(a.ID), AgeMs: ageMs(now, a.AnsweredAt)})
	}
	for _, s := range e.States {
		// The time until the next trial is encoded like an age that lies ahead.
		out.States = append(out.States, &wire.PartState{Model: string(s.Model), Id: string(s.ID), Version: s.Version, RemainingMs: ageMs(s.Until, now)})
	}
	return out
}

func encodeSuspects(suspects []quarantine.Suspect) []*wire.SuspectPrompt {
	out := make([]*wire.SuspectPrompt, len(suspects))
	for i, s := range suspects {
		out[i] = &wire.SuspectPrompt{Model: string(s.Model), LastPart: string(s.LastPart)}
		for _, id := range s.Shared {
			out[i].Shared = append(out[i].Shared, string(id))
		}
	}
	return out
}

func decodeEvidence(now time.Time, message *wire.PartEvidence) quarantine.Evidence {
	var e quarantine.Evidence
	for _, c := range message.GetCrashes() {
		e.Crashes = append(e.Crashes, quarantine.Crash{
			Incarnation: quarantine.Incarnation{Upstream: core.UpstreamID(c.Upstream), StartedAtMs: c.StartedAtMs},
			Reporter:    core.NodeID(c.Reporter), ObservedAt: timeOf(now, c.AgeMs), Suspects: decodeSuspects(c.Suspects),
		})
	}
	for _, a := range message.GetAnswers() {
		e.Answers = append(e.Answers, quarantine.Answer{Part: decodePart(a.Model, a.Id), AnsweredAt: timeOf(now, a.AgeMs)})
	}
	for _, s := range message.GetStates() {
		e.States = append(e.States, quarantine.State{
			Part: decodePart(s.Model, s.Id), Version: s.Version, Until: now.Add(time.Duration(s.RemainingMs) * time.Millisecond),
		})
	}
	return e
}

func decodeSuspects(suspects []*wire.SuspectPrompt) []quarantine.Suspect {
	out := make([]quarantine.Suspect, len(suspects))
	for i, s := range suspects {
		out[i] = quarantine.Suspect{Model: core.ModelID(s.Model), LastPart: core.PartID(s.LastPart)}
		for _, id := range s.Shared {
			out[i].Shared = append(out[i].Shared, core.PartID(id))
		}
	}
	return out
}

func decodePart(model, id string) quarantine.Part {
	return quarantine.Part{Model: core.ModelID(model), ID: core.PartID(id)}
}

func encodeVerdicts(verdicts []canary.Verdict) []*wire.VersionVerdict {
	var out []*wire.VersionVerdict
	for _, v := range verdicts {
		out = append(out, &wire.VersionVerdict{Service: string(v.Service), Version: v.Version, Request: v.RequestRowVersion, Withdrawn: v.Withdrawn})
	}
	return out
}

func decodeVerdicts(verdicts []*wire.VersionVerdict) []canary.Verdict {
	var out []canary.Verdict
	for _, v := range verdicts {
		out = append(out, canary.Verdict{Service: core.ServiceID(v.Service), Version: v.Version, RequestRowVersion: v.Request, Withdrawn: v.Withdrawn})
	}
	return out
}
