package httplimit_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/httplimit"
)

// Guards against any number of large bodies that a process keeps at once, against small
// ones that wait for them, and against a place that is not free again after a close.
func TestLargeBodiesAreLimited(t *testing.T) {
	const count, smallBytes = 2, 3
	limit := httplimit.NewLargeBodies(count, smallBytes)
	open := func(ctx context.Context, text string) io.ReadCloser {
		return limit.Limit(ctx, io.NopCloser(strings.NewReader(text)))
	}
	ended, end := context.WithCancel(t.Context())
	end()
	var large []io.ReadCloser
	for range count {
		body := open(t.Context(), "12345")
		text, err := io.ReadAll(body)
		require.NoError(t, err)
		require.Equal(t, "12345", string(text))
		large = append(large, body)
	}
	text, err := io.ReadAll(io.LimitReader(open(ended, "123"), smallBytes))
	require.NoError(t, err, "a small body waits")
	require.Equal(t, "123", string(text))
	_, err = io.ReadAll(open(ended, "12345"))
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, large[0].Close())
	require.NoError(t, large[0].Close(), "a second close returns no further place")
	for _, ctx := range []context.Context{t.Context(), ended} {
		_, err = io.ReadAll(open(ctx, "12345"))
		require.Equal(t, ctx.Err(), err)
	}
}
