package sharing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
)

var (
	badPart  = quarantine.Part{Model: "m", ID: "bad"}
	boardNow = time.Unix(1_800_000_000, 0)
)

func crashOf(upstream core.UpstreamID, reporter core.NodeID, suspects int) quarantine.Crash {
	return quarantine.Crash{
		Incarnation: quarantine.Incarnation{Upstream: upstream, StartedAtMs: 1}, Reporter: reporter, ObservedAt: boardNow,
		Suspects: make([]quarantine.Suspect, suspects),
	}
}

// Guards against evidence that does not reach another process, or reaches it again
// with each exchange.
func TestEvidenceIsForwardedOnce(t *testing.T) {
	b := newBoard()
	b.addEvidence(boardNow, "a", quarantine.Evidence{
		Crashes: []quarantine.Crash{crashOf("u", "a", 2)},
		Answers: []quarantine.Answer{{Part: badPart, AnsweredAt: boardNow}},
		States:  []quarantine.State{{Part: badPart, Version: 1, Until: boardNow.Add(time.Second)}},
	})
	first := b.newEvidence(boardNow, "b", 0)
	require.Len(t, first.Crashes, 1)
	require.Len(t, first.Answers, 1)
	require.Len(t, first.States, 1)
	require.True(t, b.newEvidence(boardNow, "b", b.newestNumber).Empty())
	// Repeated evidence is not new.
	b.addEvidence(boardNow, "a", first)
	require.True(t, b.newEvidence(boardNow, "b", b.newestNumber).Empty())
	// A report with more suspects and a newer state are.
	before := b.newestNumber
	b.addEvidence(boardNow, "a", quarantine.Evidence{
		Crashes: []quarantine.Crash{crashOf("u", "a", 3)}, States: []quarantine.State{{Part: badPart, Version: 2}},
	})
	require.Len(t, b.newEvidence(boardNow, "b", before).Crashes, 1)
	require.Len(t, b.newEvidence(boardNow, "b", before).States, 1)
	require.True(t, b.newEvidence(boardNow, "a", before).Empty(), "evidence returns to its sender")
}

// Guards against a restarted process that does not learn of a quarantine because it
// reported it itself before the restart.
func TestRestartedProcessReceivesItsOwnEvidence(t *testing.T) {
	b := newBoard()
	b.addEvidence(boardNow, "a", quarantine.Evidence{States: []quarantine.State{{Part: badPart, Version: 1, Until: boardNow.Add(time.Second)}}})
	require.Len(t, b.newEvidence(boardNow, "a", 0).States, 1)
}

// Guards against a board that grows without bound when many upstreams crash, and
// against evidence that is forwarded long after its time.
func TestBoardBoundsEvidence(t *testing.T) {
	b := newBoard()
	for i := range 2 * maxEvidence {
		b.addEvidence(boardNow, "a", quarantine.Evidence{Crashes: []quarantine.Crash{crashOf(core.UpstreamID(rune('a'+i)), "a", 1)}})
	}
	require.Len(t, b.newEvidence(boardNow, "b", 0).Crashes, maxEvidence)
	require.True(t, b.newEvidence(boardNow.Add(2*evidenceTTL), "b", 0).Empty())
}

// Guards against a changed meaning of evidence on the way between processes.
func TestEvidenceIsEncodedCompletely(t *testing.T) {
	e := quarantine.Evidence{
		Crashes: []quarantine.Crash{{
			Incarnation: quarantine.Incarnation{Upstream: "u", StartedAtMs: 7}, Reporter: "a", ObservedAt: boardNow.Add(-time.Second),
			Suspects: []quarantine.Suspect{{Model: "m", LastPart: "own", Shared: []core.PartID{"common", "bad"}}},
		}},
		Answers: []quarantine.Answer{{Part: badPart, AnsweredAt: boardNow.Add(-2 * time.Second)}},
		States:  []quarantine.State{{Part: badPart, Version: 3, Until: boardNow.Add(time.Minute)}},
	}
	later := boardNow.Add(5 * time.Second) // the clock of another process
	got := decodeEvidence(later, encodeEvidence(boardNow, e))
	require.Equal(t, later.Add(-time.Second), got.Crashes[0].ObservedAt)
	require.Equal(t, later.Add(-2*time.Second), got.Answers[0].AnsweredAt)
	require.Equal(t, later.Add(time.Minute), got.States[0].Until)
	got.Crashes[0].ObservedAt, got.Answers[0].AnsweredAt, got.States[0].Until = e.Crashes[0].ObservedAt, e.Answers[0].AnsweredAt, e.States[0].Until
	require.Equal(t, e, got)
	require.Nil(t, encodeEvidence(boardNow, quarantine.Evidence{}))
}

// Guards against a withdrawn version that other processes keep using, since the row of its
// request got the version that the request of another rollout had before a restore.
func TestVerdictOnAnotherVersionWithTheSameRowVersionIsSent(t *testing.T) {
	before := canary.Verdict{Service: "s", Version: "v2", RequestRowVersion: 24, Withdrawn: true}
	after := canary.Verdict{Service: "s", Version: "v3", RequestRowVersion: 24, Withdrawn: true}
	b := newBoard()
	b.addVerdicts(t0, "a", []canary.Verdict{before})
	b.addVerdicts(t0.Add(time.Second), "a", []canary.Verdict{after})
	require.ElementsMatch(t, []canary.Verdict{before, after}, b.verdicts.newFor(t0.Add(time.Second), "c", 0))
}
