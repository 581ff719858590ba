package sharing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/wire"
)

// Guards against figures of a load that other processes do not receive, against a slowdown
// that is rounded to none, and against observations of older versions that are not decoded.
func TestLoadsAreShared(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := Observation{Upstream: "u", Load: 12, HasLoad: true, Waiting: 4, Slowdown: 2.5, SlowdownSample: 0.001, ObservedAt: now, Reporter: "front-1"}
	b := newBoard()
	b.add("front-1", []Observation{sent})
	b.add("front-2", []Observation{{Upstream: "u", Slowdown: 9, ObservedAt: now.Add(-time.Second)}})
	received := decodeObservations(now, encodeObservations(now, b.newObservations(now, "front-3", 0, false)))
	want := sent
	want.SlowdownSample, want.Reporter = 0.01, ""
	require.Equal(t, []Observation{want}, received)

	older := decodeObservations(now, []*wire.Observation{{Upstream: "u", HasLoad: true, Load: 12}})
	require.Equal(t, []Observation{{Upstream: "u", HasLoad: true, Load: 12, ObservedAt: now}}, older)
}

// Guards against ratios from other processes that are out of bounds.
func TestSharedRatiosAreBounded(t *testing.T) {
	require.Zero(t, encodePercent(0))
	require.Zero(t, encodePercent(-1))
	require.EqualValues(t, maxPercent, encodePercent(1e300))
	require.InDelta(t, 1000, decodePercent(1<<32-1), 1e-9)
}
