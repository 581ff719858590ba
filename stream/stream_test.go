package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/stream"
)

func tokenFrame(id core.AttemptID, seq uint64, pos uint32) stream.Frame {
	return stream.Frame{Attempt: id, Seq: seq, Kind: stream.KindToken, Position: pos}
}

func endFrame(id core.AttemptID, seq uint64, tokens uint32) stream.Frame {
	return stream.Frame{Attempt: id, Seq: seq, Kind: stream.KindEnd, FrameCount: seq, TokenCount: tokens}
}

// Guards against a response that has a wrong, repeated or missing token, that is
// truncated, or that contains frames of another call.
func TestFrameFaults(t *testing.T) {
	reject := stream.Frame{Attempt: "a", Kind: stream.KindReject}
	lateReject := stream.Frame{Attempt: "a", Seq: 1, Kind: stream.KindReject}
	lowTokenCount := endFrame("a", 2, 1)
	lowFrameCount := endFrame("a", 2, 2)
	lowFrameCount.FrameCount = 1
	cases := map[string]struct {
		frames   []stream.Frame
		verdict  stream.Verdict // of the last frame
		fault    stream.Fault
		position uint32
	}{
		"complete":        {[]stream.Frame{tokenFrame("a", 0, 0), tokenFrame("a", 1, 1), endFrame("a", 2, 2)}, stream.VerdictComplete, stream.FaultNone, 2},
		"empty response":  {[]stream.Frame{endFrame("a", 0, 0)}, stream.VerdictComplete, stream.FaultNone, 0},
		"crossed":         {[]stream.Frame{tokenFrame("a", 0, 0), tokenFrame("z", 1, 1)}, stream.VerdictIgnore, stream.FaultWrongCall, 1},
		"crossed end":     {[]stream.Frame{tokenFrame("a", 0, 0), endFrame("z", 1, 1)}, stream.VerdictIgnore, stream.FaultWrongCall, 1},
		"repeated":        {[]stream.Frame{tokenFrame("a", 0, 0), tokenFrame("a", 0, 0)}, stream.VerdictIgnore, stream.FaultDuplicate, 1},
		"missing frame":   {[]stream.Frame{tokenFrame("a", 0, 0), tokenFrame("a", 2, 2)}, stream.VerdictBroken, stream.FaultGap, 1},
		"missing token":   {[]stream.Frame{tokenFrame("a", 0, 0), tokenFrame("a", 1, 2)}, stream.VerdictBroken, stream.FaultGap, 1},
		"repeated token":  {[]stream.Frame{tokenFrame("a", 0, 0), tokenFrame("a", 1, 0)}, stream.VerdictBroken, stream.FaultGap, 1},
		"missing at end":  {[]stream.Frame{tokenFrame("a", 0, 0), endFrame("a", 2, 2)}, stream.VerdictBroken, stream.FaultGap, 1},
		"end counts":      {[]stream.Frame{tokenFrame("a", 0, 0), tokenFrame("a", 1, 1), lowTokenCount}, stream.VerdictBroken, stream.FaultCountMismatch, 2},
		"end frame count": {[]stream.Frame{tokenFrame("a", 0, 0), tokenFrame("a", 1, 1), lowFrameCount}, stream.VerdictBroken, stream.FaultCountMismatch, 2},
		"no body":         {[]stream.Frame{{Attempt: "a"}}, stream.VerdictBroken, stream.FaultMalformed, 0},
		"reject":          {[]stream.Frame{reject}, stream.VerdictRejected, stream.FaultNone, 0},
		"reject too late": {[]stream.Frame{tokenFrame("a", 0, 0), lateReject}, stream.VerdictBroken, stream.FaultMalformed, 1},
		"failure":         {[]stream.Frame{tokenFrame("a", 0, 0), {Attempt: "a", Seq: 1, Kind: stream.KindFailure}}, stream.VerdictBroken, stream.FaultUpstreamFailure, 1},
		"after a break":   {[]stream.Frame{tokenFrame("a", 1, 1), tokenFrame("a", 0, 0)}, stream.VerdictIgnore, stream.FaultLate, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			response := stream.NewResponse()
			response.AddAttempt("a")
			var last stream.Result
			for _, f := range c.frames {
				last = response.Accept(f)
			}
			require.Equal(t, c.verdict.String(), last.Verdict.String())
			require.Equal(t, c.fault.String(), last.Fault.String())
			require.Equal(t, c.position, response.Position())
			require.Equal(t, c.verdict == stream.VerdictComplete, response.Complete())
		})
	}
}

// Guards against tokens that are lost or sent twice when a run is interrupted and
// resumed by another attempt, and against late frames of the first attempt.
func TestResumeKeepsPosition(t *testing.T) {
	response := stream.NewResponse()
	response.AddAttempt("a")
	response.Accept(tokenFrame("a", 0, 0))
	response.Accept(tokenFrame("a", 1, 1))
	require.Equal(t, stream.FaultTruncated, response.CloseAttempt("a").Fault)
	require.EqualValues(t, 2, response.AddAttempt("b"))
	require.Equal(t, stream.FaultLate, response.Accept(tokenFrame("a", 2, 2)).Fault)
	require.Equal(t, stream.VerdictDeliver, response.Accept(tokenFrame("b", 0, 2)).Verdict)
	require.Equal(t, stream.VerdictComplete, response.Accept(endFrame("b", 1, 3)).Verdict)
	require.Equal(t, stream.VerdictIgnore, response.CloseAttempt("b").Verdict)
	require.Equal(t, stream.FaultLate, response.Accept(tokenFrame("b", 2, 3)).Fault)
	require.EqualValues(t, 3, response.Position())
}

// Guards against a response that contains tokens of two concurrent attempts.
func TestHedgeDeliversOneAttempt(t *testing.T) {
	response := stream.NewResponse()
	response.AddAttempt("a")
	response.AddAttempt("b")
	result := response.Accept(tokenFrame("b", 0, 0))
	require.Equal(t, []core.AttemptID{"a"}, result.Cancel)
	require.Equal(t, stream.FaultLate, response.Accept(tokenFrame("a", 0, 0)).Fault)
	require.Equal(t, []core.AttemptID{"b"}, response.OpenAttempts())
	require.EqualValues(t, 1, response.Position())
}

// Guards against attempt ids that repeat after a restart.
func TestIDsDifferAcrossIncarnations(t *testing.T) {
	first, second := stream.NewAttemptIDs("n", 1), stream.NewAttemptIDs("n", 2)
	require.NotEqual(t, first.Next(), second.Next())
	require.NotEqual(t, first.Next(), first.Next())
}
