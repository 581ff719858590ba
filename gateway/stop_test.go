package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// Guards against a stream that begins late in a planned stop and is cut at the
// end of the grace time.
func TestStoppingFrontBeginsNoLongCalls(t *testing.T) {
	begun := time.Unix(100, 0)
	s := &stop{begun: begun, grace: 8 * time.Second}
	cases := []struct {
		kind  core.CallKind
		after time.Duration
		want  bool
	}{
		{core.Stream, time.Second, true},
		{core.Stream, 3 * time.Second, false},
		{core.NonIdempotent, 3 * time.Second, true},
		{core.Idempotent, 7 * time.Second, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, s.mayBegin(c.kind, begun.Add(c.after)), "%s after %s", c.kind, c.after)
	}
	require.True(t, (*stop)(nil).mayBegin(core.Stream, begun), "no stop is under way")
}
