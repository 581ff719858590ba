package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// onlyUpstream is the upstream that onlyUpstreamRequest leaves.
const onlyUpstream = "records-0"

// onlyUpstreamRequest returns a request that can be served by one upstream only.
func onlyUpstreamRequest() Request {
	req := newPlainRequest()
	req.TriedUpstreams = append(req.TriedUpstreams, "records-1", "records-2")
	return req
}

// placeAttempts places attempts at the only upstream.
func placeAttempts(t *testing.T, pl *Placer, now time.Time, count int) (attempts []AttemptID) {
	t.Helper()
	for range count {
		choice, refusal := pl.Choose(now, onlyUpstreamRequest())
		require.Equal(t, NotRefused, refusal)
		attempts = append(attempts, choice.AttemptID)
	}
	return attempts
}

// Guards against sound calls that are refused with "no upstream", since connections that
// were opened at the same time fail together and each of them doubles the exclusion.
func TestConnectionsThatFailTogetherExcludeOnce(t *testing.T) {
	pl := newPlacer(newInputs(1))
	failedAt := t0.Add(300 * time.Millisecond)
	for _, id := range placeAttempts(t, pl, t0, 8) {
		pl.RecordReport(failedAt, Report{AttemptID: id, Upstream: onlyUpstream, Final: true, Result: Unreachable})
	}
	_, refusal := pl.Choose(failedAt.Add(unreachableDelay/2), onlyUpstreamRequest())
	require.Equal(t, NoUpstream, refusal)
	_, refusal = pl.Choose(failedAt.Add(unreachableDelay), onlyUpstreamRequest())
	require.Equal(t, NotRefused, refusal)
}

// Guards against sound calls that are refused with "no upstream", since one connection to
// a busy upstream timed out while it responded to other calls.
func TestRespondingUpstreamIsNotExcluded(t *testing.T) {
	pl := newPlacer(newInputs(1))
	ids := placeAttempts(t, pl, t0, 2)
	pl.RecordReport(t0.Add(200*time.Millisecond), Report{AttemptID: ids[0], Upstream: onlyUpstream})
	failedAt := t0.Add(300 * time.Millisecond)
	pl.RecordReport(failedAt, Report{AttemptID: ids[1], Upstream: onlyUpstream, Final: true, Result: Unreachable})
	require.False(t, pl.Excluded(failedAt, onlyUpstream), "other processes would exclude it")
	_, refusal := pl.Choose(failedAt, onlyUpstreamRequest())
	require.Equal(t, NotRefused, refusal)
}

// Guards against an upstream that has ended and receives a call each 400 ms, since the
// exclusion does not grow.
func TestRepeatedFailedConnectionsExcludeLonger(t *testing.T) {
	pl := newPlacer(newInputs(1))
	now := t0
	for _, delay := range []time.Duration{unreachableDelay, 2 * unreachableDelay, 4 * unreachableDelay, 4 * unreachableDelay} {
		ids := placeAttempts(t, pl, now, 1)
		pl.RecordReport(now, Report{AttemptID: ids[0], Upstream: onlyUpstream, Final: true, Result: Unreachable})
		_, refusal := pl.Choose(now.Add(delay-time.Millisecond), onlyUpstreamRequest())
		require.Equal(t, NoUpstream, refusal)
		now = now.Add(delay)
	}
}
