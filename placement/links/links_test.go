package links

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

// observe records delays of several links at once.
func observe(l *Links, now time.Time, n int, delaysMs ...float64) {
	for i, ms := range delaysMs {
		for range n {
			l.Observe(now, ID(i+1), ms)
		}
	}
}

// Guards against lateness of engines that is taken for slow links, against a slow link that is
// not found because all transfers are late, and against one that is never tried again.
func TestOnlyLinksLaterThanTheOthersAreSlow(t *testing.T) {
	l := New()
	observe(l, t0, 40, 300, 320, 280, 310)
	require.Empty(t, l.DelayMs(t0, nil), "all are late alike")
	observe(l, t0, 40, 300, 300, 300, 1900)
	delays := l.DelayMs(t0, nil)
	require.Len(t, delays, 1)
	require.Greater(t, delays[4], 300.0)
	require.Empty(t, l.DelayMs(t0.Add(5*time.Second), nil), "a link without transfers is tried again")
}

// Guards against a slow link that is known only after its transfers have ended, that is known
// only to the process whose transfers are late, and against reports that do not fade.
func TestOverdueAndRemoteTransfersCount(t *testing.T) {
	l := New()
	observe(l, t0, 5, 0, 0, 0, 0)
	var pending []Delays
	for range 10 {
		pending = append(pending, One(2, 900))
	}
	require.Greater(t, l.DelayMs(t0, pending)[2], 300.0)
	require.Empty(t, l.DelayMs(t0, nil))
	other := New()
	other.SetOthers(t0, l.Own(t0, pending))
	require.Greater(t, other.DelayMs(t0, nil)[2], 300.0)
	require.Empty(t, other.DelayMs(t0.Add(2*time.Second), nil), "silence")
}

// Guards against a delay that is not a number, which would stay in the sums for good. It is
// the share of a transfer whose expected time is 0, over a link without a stated rate.
func TestDelayThatIsNoNumberIsNotObserved(t *testing.T) {
	l := New()
	observe(l, t0, 10, 0, 0, 0, math.NaN())
	observe(l, t0, 40, 0, 0, 0, 1900)
	require.Greater(t, l.DelayMs(t0, nil)[4], 300.0)
}

// Guards against a slow link that nobody knows to be slow, since it is avoided and others have
// more transfers.
func TestSlowLinkWithFewTransfersIsReported(t *testing.T) {
	all := []Delays{{Link: 100, Transfers: 2, DelayMs: 4000}}
	for id := range ID(3 * maxReported) {
		all = append(all, Delays{Link: id, Transfers: 50, DelayMs: 50})
	}
	l := New()
	l.SetOthers(time.Unix(1000, 0), Reported(all))
	require.Len(t, l.others, maxReported)
	require.Contains(t, l.DelayMs(time.Unix(1000, 0), nil), ID(100))
}
