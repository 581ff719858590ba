package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a weight store that serves any number of loads at full speed,
// which would hide a rollout that loads too many at once.
func TestWeightsSlowDownAboveTwoLoads(t *testing.T) {
	for loads, want := range map[int]time.Duration{1: 660, 2: 660, 4: 1320} {
		synctest.Test(t, func(t *testing.T) {
			weights := standin.NewWeights(standin.WeightsOptions{})
			started := time.Now()
			var group conc.WaitGroup
			for range loads {
				group.Go(func() { _ = weights.Load(t.Context(), "gate@v2") })
			}
			group.Wait()
			require.InDelta(t, float64(want*time.Millisecond), float64(time.Since(started)), float64(35*time.Millisecond))
			require.Equal(t, loads, weights.Peak())
		})
	}
}

// Guards against a link whose bytes are not counted in both directions.
func TestLinkCountsBothDirections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("a", 2000)))
	}))
	defer server.Close()
	link := standin.NewLink(1e9)
	defer link.Close()
	resp, err := (&http.Client{Transport: link}).Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("q", 500)))
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, answer, 2000)
	require.EqualValues(t, 2500, link.Bytes())
}
