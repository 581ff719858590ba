package frontend_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/singleton/dutystatus"
)

// readDuties reads the duties that a front shows on its metrics listener.
func (f *front) readDuties() map[string]dutystatus.Duty {
	duties := make(map[string]dutystatus.Duty)
	response, err := http.Get("http://" + f.metricsAddress + dutystatus.Path)
	if err != nil {
		return duties
	}
	defer func() { _ = response.Body.Close() }()
	shown, err := dutystatus.Decode(response.Body)
	for _, d := range shown.Duties {
		if err == nil && shown.Node == "front-1" {
			duties[d.Subject] = d
		}
	}
	return duties
}

// Guards against a front that performs duties without showing since when, which window it
// reported last, or which numbers of upstreams it has decided.
func TestHeldDutiesAreShown(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(platform.Close)
	d := newDeployment(t)
	d.extraSettings = fmt.Sprintf("cloud: {address: %q, calls_per_second: 50, duties: [usage_report, autoscale], usage_window: 1s, usage_due: 8s}\nautoscale: {failure_domains: [z1]}\n", platform.Listener.Addr())
	d.configure(func(config map[string]any) {
		config["services"] = []any{map[string]any{"name": "svc", "scale": map[string]any{"min": 3, "max": 5, "boot-s": 1}}, map[string]any{"name": "other"}}
	})
	d.startServer("s1", "svc", nil)
	started := time.Now()
	f := d.startReadyFront("front-1")
	var shown map[string]dutystatus.Duty
	require.Eventually(t, func() bool {
		shown = f.readDuties()
		return shown["usage"].Usage != nil && shown["scale/svc/z1"].Upstreams != nil
	}, 2*testTimeout, 50*time.Millisecond, "duties: %v", shown)
	for _, held := range shown {
		require.NotZero(t, held.Fence)
		require.WithinRange(t, held.HeldSince, started, time.Now())
	}
	require.WithinRange(t, shown["usage"].Usage.SentAt, started, time.Now())
	require.Equal(t, 1, shown["scale/svc/z1"].Upstreams.Listed)
	require.NotEmpty(t, shown["scale/svc/z1"].Upstreams.Reason)
	response, err := http.Post("http://"+f.metricsAddress+dutystatus.Path, "text/plain", nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusMethodNotAllowed, response.StatusCode)
}
