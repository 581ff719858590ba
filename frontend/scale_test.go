package frontend_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/ring"
)

// scaleCall is a call to the platform's interface for duties.
type scaleCall struct {
	path, holder, fence, body string
}

// Guards against duties that are assembled without the leases, the loads or the client.
func TestScaleOrderReachesThePlatform(t *testing.T) {
	calls := ring.New[scaleCall](16)
	platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		calls.Push(scaleCall{path: r.URL.Path, holder: r.Header.Get("Duty-Holder"), fence: r.Header.Get("Fencing-Token"), body: string(body)})
	}))
	t.Cleanup(platform.Close)
	d := newDeployment(t)
	d.extraSettings = "cloud: {address: \"" + platform.Listener.Addr().String() + "\", calls_per_second: 50, duties: [autoscale]}\nautoscale: {failure_domains: [z1, z2]}\n"
	d.configure(func(config map[string]any) {
		config["services"] = []any{
			map[string]any{"name": "svc", "scale": map[string]any{"min": 3, "max": 5, "boot-s": 1}},
			map[string]any{"name": "other"},
		}
	})
	d.startServer("s1", "svc", nil)
	d.startReadyFront("front-1")
	var call scaleCall
	// A front that has just started observes for 13 s before it orders anything.
	require.Eventually(t, func() bool {
		received, ok := calls.TryReceive()
		call = received
		return ok
	}, 4*testTimeout, 10*time.Millisecond, "no order")
	require.Equal(t, "/scale", call.path)
	require.Equal(t, "front-1", call.holder)
	require.NotEmpty(t, call.fence)
	require.JSONEq(t, `{"service":"svc","zone":"z1","desired-count":3}`, call.body)
}
