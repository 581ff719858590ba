package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a success for requests with the method OPTIONS, which the router of the
// health checks can answer by itself, also for an entry that is not ready.
func TestHealthChecksDoNotAllowOptions(t *testing.T) {
	admin := listen(t)
	stop, exited := runEntry(t, listen(t), admin)
	for _, path := range []string{"/readyz", "/healthz"} {
		var status int
		require.Eventually(t, func() bool {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodOptions, "http://"+admin.Addr().String()+path, nil)
			require.NoError(t, err)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			status = resp.StatusCode
			return true
		}, testTimeout, 5*time.Millisecond)
		require.Equal(t, http.StatusMethodNotAllowed, status, path)
	}
	stop()
	require.NoError(t, <-exited)
}
