package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/stream"
)

func tok(id core.AttemptID, seq uint64, pos uint32) stream.Frame {
	return stream.Frame{Attempt: id, Seq: seq, Kind: stream.KindToken, Position: pos}
}

func end(id core.AttemptID, seq uint64, tokens uint32) stream.Frame {
	return stream.Frame{Attempt: id, Seq: seq, Kind: stream.KindEnd, FrameCount: seq, TokenCount: tokens}
}

// Guards against an answer that has a wrong, repeated or missing token, that
// ends early, or that takes frames of another call.
func TestFrameFaults(t *testing.T) {
	reject := stream.Frame{Attempt: "a", Kind: stream.KindReject}
	lateReject := stream.Frame{Attempt: "a", Seq: 1, Kind: stream.KindReject}
	short := end("a", 2, 1)
	fewFrames := end("a", 2, 2)
	fewFrames.FrameCount = 1
	cases := map[string]struct {
		frames   []stream.Frame
		verdict  stream.Verdict // of the last frame
		fault    stream.Fault
		position uint32
	}{
		"whole":           {[]stream.Frame{tok("a", 0, 0), tok("a", 1, 1), end("a", 2, 2)}, stream.Complete, stream.FaultNone, 2},
		"empty answer":    {[]stream.Frame{end("a", 0, 0)}, stream.Complete, stream.FaultNone, 0},
		"crossed":         {[]stream.Frame{tok("a", 0, 0), tok("z", 1, 1)}, stream.Ignore, stream.FaultWrongCall, 1},
		"crossed end":     {[]stream.Frame{tok("a", 0, 0), end("z", 1, 1)}, stream.Ignore, stream.FaultWrongCall, 1},
		"repeated":        {[]stream.Frame{tok("a", 0, 0), tok("a", 0, 0)}, stream.Ignore, stream.FaultDuplicate, 1},
		"missing frame":   {[]stream.Frame{tok("a", 0, 0), tok("a", 2, 2)}, stream.Broken, stream.FaultGap, 1},
		"missing token":   {[]stream.Frame{tok("a", 0, 0), tok("a", 1, 2)}, stream.Broken, stream.FaultGap, 1},
		"repeated token":  {[]stream.Frame{tok("a", 0, 0), tok("a", 1, 0)}, stream.Broken, stream.FaultGap, 1},
		"missing at end":  {[]stream.Frame{tok("a", 0, 0), end("a", 2, 2)}, stream.Broken, stream.FaultGap, 1},
		"end counts":      {[]stream.Frame{tok("a", 0, 0), tok("a", 1, 1), short}, stream.Broken, stream.FaultCountMismatch, 2},
		"end frame count": {[]stream.Frame{tok("a", 0, 0), tok("a", 1, 1), fewFrames}, stream.Broken, stream.FaultCountMismatch, 2},
		"no body":         {[]stream.Frame{{Attempt: "a"}}, stream.Broken, stream.FaultMalformed, 0},
		"reject":          {[]stream.Frame{reject}, stream.Rejected, stream.FaultNone, 0},
		"reject too late": {[]stream.Frame{tok("a", 0, 0), lateReject}, stream.Broken, stream.FaultMalformed, 1},
		"failure":         {[]stream.Frame{tok("a", 0, 0), {Attempt: "a", Seq: 1, Kind: stream.KindFailure}}, stream.Broken, stream.FaultUpstreamFailure, 1},
		"after break":     {[]stream.Frame{tok("a", 1, 1), tok("a", 0, 0)}, stream.Ignore, stream.FaultLate, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := stream.NewResponse()
			a.AddAttempt("a")
			var last stream.Result
			for _, f := range c.frames {
				last = a.Accept(f)
			}
			require.Equal(t, c.verdict.String(), last.Verdict.String())
			require.Equal(t, c.fault.String(), last.Fault.String())
			require.Equal(t, c.position, a.Position())
			require.Equal(t, c.verdict == stream.Complete, a.Complete())
		})
	}
}

// Guards against tokens that are lost or sent twice when a run is cut and
// resumes elsewhere, and against late frames of the first attempt.
func TestResumeKeepsPosition(t *testing.T) {
	a := stream.NewResponse()
	a.AddAttempt("a")
	a.Accept(tok("a", 0, 0))
	a.Accept(tok("a", 1, 1))
	require.Equal(t, stream.FaultTruncated, a.CloseAttempt("a").Fault)
	require.EqualValues(t, 2, a.AddAttempt("b"))
	require.Equal(t, stream.FaultLate, a.Accept(tok("a", 2, 2)).Fault)
	require.Equal(t, stream.Deliver, a.Accept(tok("b", 0, 2)).Verdict)
	require.Equal(t, stream.Complete, a.Accept(end("b", 1, 3)).Verdict)
	require.Equal(t, stream.Ignore, a.CloseAttempt("b").Verdict)
	require.Equal(t, stream.FaultLate, a.Accept(tok("b", 2, 3)).Fault)
	require.EqualValues(t, 3, a.Position())
}

// Guards against an answer mixed from two attempts that run at the same time.
func TestHedgeFollowsOneAttempt(t *testing.T) {
	a := stream.NewResponse()
	a.AddAttempt("a")
	a.AddAttempt("b")
	step := a.Accept(tok("b", 0, 0))
	require.Equal(t, []core.AttemptID{"a"}, step.Cancel)
	require.Equal(t, stream.FaultLate, a.Accept(tok("a", 0, 0)).Fault)
	require.Equal(t, []core.AttemptID{"b"}, a.OpenAttempts())
	require.EqualValues(t, 1, a.Position())
}

// Guards against attempt ids that repeat after a restart.
func TestIDsDifferAcrossIncarnations(t *testing.T) {
	first, second := stream.NewAttemptIDs("n", 1), stream.NewAttemptIDs("n", 2)
	require.NotEqual(t, first.Next(), second.Next())
	require.NotEqual(t, first.Next(), first.Next())
}
