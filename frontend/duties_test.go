package frontend_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// usageReports is the platform's interface for usage reports.
type usageReports struct {
	mu     sync.Mutex
	counts map[int64]map[string]int
	// conflicts counts reports of a window with other counts.
	conflicts int
}

func (u *usageReports) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64          `json:"window"`
		Counts map[string]int `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if old, ok := u.counts[report.Window]; ok && fmt.Sprint(old) != fmt.Sprint(report.Counts) {
		u.conflicts++
	}
	u.counts[report.Window] = report.Counts
}

// total returns the number of reported calls of a workspace.
func (u *usageReports) total(workspace string) (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, counts := range u.counts {
		n += counts[workspace]
	}
	return n
}

// serveUsage returns a handler whose streams of the route verdict break off after two events.
func serveUsage(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/draft/"):
			s.Events(w, 1, 3, 0)
		case strings.HasPrefix(r.URL.Path, "/verdict/") && r.Header.Get("Last-Event-Id") == "":
			s.Events(w, 1, 2, 0)
			s.Break()
		case strings.HasPrefix(r.URL.Path, "/verdict/"):
			s.Events(w, 3, 4, 0)
		case strings.HasPrefix(r.URL.Path, "/log/"):
			s.Answer(w, http.StatusInternalServerError, "failed")
		default:
			s.Answer(w, http.StatusOK, "served")
		}
	}
}

// Guards against calls that are not reported, or more than once: streams, streams that are
// resumed at another server, plain calls, and calls that are refused or fail, over two fronts
// of which one stops after it has handed its counts over.
func TestUsageIsReported(t *testing.T) {
	reports := &usageReports{counts: make(map[int64]map[string]int)}
	cloud := httptest.NewServer(reports)
	defer cloud.Close()
	d := newDeployment(t)
	d.extraSettings = fmt.Sprintf("cloud: {address: %q, calls_per_second: 50, duties: [usage_report], usage_window: 1s, usage_due: 8s}", cloud.Listener.Addr().String())
	for _, id := range []string{"i-1", "i-2"} {
		d.startServer(id, "svc", serveUsage)
	}
	first, second := d.startReadyFront("front-1"), d.startReadyFront("front-2")
	time.Sleep(1500 * time.Millisecond) // windows that end within a second of the start are not reported
	want := 0
	for i := range 6 {
		for j, f := range []*front{first, second} {
			r := f.call(http.MethodPost, "/draft/x", fmt.Sprintf("s%d-%d", i, j), nil)
			require.NoError(t, r.err)
			require.Equal(t, http.StatusOK, r.status)
			r = f.call(http.MethodGet, "/read/x", fmt.Sprintf("r%d-%d", i, j), nil)
			require.Equal(t, http.StatusOK, r.status)
			r = f.call(http.MethodPost, "/verdict/x", fmt.Sprintf("v%d-%d", i, j), nil)
			require.NoError(t, r.err)
			require.Contains(t, r.body, "id: 4", "the stream is resumed at the other server")
			want += 3
			require.Equal(t, http.StatusInternalServerError, f.call(http.MethodPost, "/log/x", fmt.Sprintf("l%d-%d", i, j), nil).status)
			require.Equal(t, http.StatusUnauthorized, f.call(http.MethodGet, "/read/x", "unknown", func(r *http.Request) { r.Header.Set("X-Api-Key", "no") }).status)
		}
	}
	time.Sleep(600 * time.Millisecond) // the interval of hand-overs
	first.stop()
	require.Eventually(t, func() bool { return reports.total("crew") >= want }, 40*time.Second, 20*time.Millisecond, "reports: %v", reports.counts)
	time.Sleep(2 * time.Second)
	require.Equal(t, want, reports.total("crew"))
	require.Zero(t, reports.conflicts)
}
