package daemon_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against listeners of an entry whose clients cannot be seen in its metrics.
func TestListenersHaveMetrics(t *testing.T) {
	admin := listen(t)
	stop, exited := runEntry(t, listen(t), admin)
	wanted := []string{
		`client_connections{listener="administration"`, `client_connections{listener="callers"`, `client_connections{listener="inner"`,
		`clients_refused_total{listener="callers"`, `clients_refused_total{listener="inner"`,
		`memory_used_bytes{messages="administration"`, `memory_used_bytes{messages="inner"`, `memory_used_bytes{messages="requests"`,
	}
	require.EventuallyWithT(t, func(c *assert.CollectT) {
		resp, err := http.Get("http://" + admin.Addr().String() + "/metrics")
		require.NoError(c, err)
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.NoError(c, err)
		for _, metric := range wanted {
			require.Contains(c, string(text), metric)
		}
	}, testTimeout, 10*time.Millisecond)
	stop()
	require.NoError(t, <-exited)
}
