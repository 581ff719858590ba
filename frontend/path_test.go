package frontend_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// handlerFactory returns the request handler of a stand-in server.
type handlerFactory = func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte)

// Guards against requests that are changed when they are forwarded, and against
// forged headers of callers that only the system may set.
func TestRequestReachesItsUpstreamUnchanged(t *testing.T) {
	d := newDeployment(t)
	s := d.startServer("i-1", "svc", nil)
	f := d.startReadyFront("front-1")
	got := f.call(http.MethodPost, "/read/a%2Fb/?q=1&q=2", "r-1", func(r *http.Request) {
		for _, name := range []string{
			"Tenant", "Cache-Salt", "Kv-Fetch-From", "Kv-Save-To", "Kv-Until", "Kv-From", "Kv-Backup", "Hold", "Pin-Ms",
			"Expect-Version", "Expect-Instance", "Request-Priority", "Proxy-Authorization",
		} {
			r.Header.Set(name, "forged")
		}
		r.Header.Set("Model", "m1")
		r.Header.Set("X-Own", "kept")
	})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "served by i-1", got.body)
	require.Equal(t, "seal-i-1", got.header.Get("Response-Seal"))
	require.Equal(t, "r-1", got.header.Get("Request-Id"))

	seen := s.Seen()
	require.Len(t, seen, 1)
	r := seen[0]
	require.Equal(t, "/read/a%2Fb/?q=1&q=2", r.URI)
	require.Equal(t, "gates.example", r.Host)
	require.Equal(t, "the body", r.Body)
	require.Equal(t, "crew", r.Header.Get("Tenant"))
	require.Equal(t, "i-1", r.Header.Get("Expect-Instance"))
	require.Equal(t, "m1", r.Header.Get("Model"))
	require.Equal(t, "kept", r.Header.Get("X-Own"))
	for name, values := range r.Header {
		require.NotContains(t, values, "forged", name)
		require.NotContains(t, values, "key-1", name)
	}
	remainingMs := 0
	_, err := fmt.Sscan(r.Header.Get("Deadline-Ms"), &remainingMs)
	require.NoError(t, err)
	require.LessOrEqual(t, remainingMs, 2500)
	require.Positive(t, remainingMs)
}

// Guards against a wrong status for calls without a route or a valid API key, and
// against the wrong route when several prefixes match.
func TestRoutesAndKeys(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", nil)
	d.startServer("i-2", "other", nil)
	f := d.startReadyFront("front-1")
	cases := map[string]struct {
		path, host, key string
		status          int
		body            string
	}{
		"route":          {"/read/x", "gates.example", "key-1", http.StatusOK, "served by i-1"},
		"longest prefix": {"/read/inner/x", "gates.example", "key-1", http.StatusOK, "served by i-2"},
		"unknown key":    {"/read/x", "gates.example", "key-2", http.StatusUnauthorized, ""},
		"no key":         {"/read/x", "gates.example", "", http.StatusUnauthorized, ""},
		"public route":   {"/open/x", "gates.example", "", http.StatusOK, "served by i-1"},
		"unknown path":   {"/nothing/x", "gates.example", "key-1", http.StatusNotFound, ""},
		"unknown host":   {"/read/x", "elsewhere.example", "key-1", http.StatusNotFound, ""},
		"partial prefix": {"/readx", "gates.example", "key-1", http.StatusNotFound, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := f.call(http.MethodGet, c.path, "r", func(r *http.Request) {
				r.Host = c.host
				r.Header.Set("X-Api-Key", c.key)
			})
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			if c.body != "" {
				require.Equal(t, c.body, got.body)
			}
		})
	}
}

// Guards against non-idempotent calls that run twice or are refused after they ran,
// and against permitted retries that are not made. Whether a call is repeated depends
// on its kind and on the proof that it has not run (the header Not-Executed).
func TestRepeatsFollowTheKindAndTheProof(t *testing.T) {
	breaking := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(http.ResponseWriter, *http.Request, []byte) { s.Break() }
	}
	rejecting := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) { s.Reject(w) }
	}
	truncating := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			w.Header().Set("Response-Seal", "seal")
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write([]byte("half"))
			s.Break()
		}
	}
	failing := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			s.Answer(w, http.StatusInternalServerError, "failed")
		}
	}
	rejectingAfter := func(first handlerFactory) handlerFactory {
		sent := new(atomic.Int32)
		return func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
			return func(w http.ResponseWriter, r *http.Request, body []byte) {
				if sent.Add(1) == 1 {
					first(s)(w, r, body)
					return
				}
				s.Reject(w)
			}
		}
	}
	cases := map[string]struct {
		path     string
		first    handlerFactory
		attempts int
		status   int
	}{
		"failed idempotent call that is then rejected":           {"/read/x", rejectingAfter(failing), 2, http.StatusInternalServerError},
		"idempotent call without response that is then rejected": {"/read/x", rejectingAfter(breaking), 2, http.StatusBadGateway},
		"non-idempotent call without response":                   {"/log/x", breaking, 1, http.StatusBadGateway},
		"non-idempotent call with truncated response":            {"/log/x", truncating, 1, http.StatusBadGateway},
		"rejected non-idempotent call":                           {"/log/x", rejecting, 2, http.StatusServiceUnavailable},
		"failed non-idempotent call":                             {"/log/x", failing, 1, http.StatusInternalServerError},
		"idempotent call without response":                       {"/read/x", breaking, 2, http.StatusBadGateway},
		"idempotent call with truncated response":                {"/read/x", truncating, 2, http.StatusBadGateway},
		"failed idempotent call":                                 {"/read/x", failing, 2, http.StatusInternalServerError},
		"stream without response":                                {"/draft/x", breaking, 1, http.StatusBadGateway},
		"resumable stream without response":                      {"/verdict/x", breaking, 2, http.StatusBadGateway},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			one, two := d.startServer("i-1", "svc", c.first), d.startServer("i-2", "svc", c.first)
			got := d.startReadyFront("front-1").call(http.MethodPost, c.path, "r", nil)
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Len(t, append(one.Seen(), two.Seen()...), c.attempts)
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a duplicate of an earlier response on an upstream connection that is
// returned to the next caller.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	d := newDeployment(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	go serveDuplicates(l)
	d.putUpstreamRow("i-1", "svc", l.Addr().String(), "ready")
	f := d.startReadyFront("front-1")
	for _, id := range []string{"r-1", "r-2", "r-3"} {
		got := f.call(http.MethodGet, "/read/x", id, nil)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "response to "+id, got.body)
	}
}

// serveDuplicates responds to each request. It sends the previous response again
// before each response.
func serveDuplicates(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			previousResponse := ""
			buf := make([]byte, 4096)
			for {
				n, err := conn.Read(buf)
				if err != nil {
					return
				}
				id := ""
				for _, line := range strings.Split(string(buf[:n]), "\r\n") {
					if value, ok := strings.CutPrefix(line, "Request-Id: "); ok {
						id = value
					}
				}
				body := "response to " + id
				rawResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
				if _, err := conn.Write([]byte(previousResponse + rawResponse)); err != nil {
					return
				}
				previousResponse = rawResponse
			}
		}()
	}
}

// Guards against events of a stream that are delayed, lost or duplicated, and against
// an interrupted stream that the caller takes as complete.
func TestStreams(t *testing.T) {
	// unusedRelease is stored, but never read. It has no effect on the test: the last
	// subtest uses release itself.
	var unusedRelease atomic.Pointer[chan struct{}]
	release := make(chan struct{})
	unusedRelease.Store(&release)
	interrupting := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			lastEventID := 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &lastEventID)
			if lastEventID == 0 {
				s.Events(w, 1, 3, 0)
				_, _ = w.Write([]byte("id: 4\ndata: hal"))
				_ = http.NewResponseController(w).Flush()
				s.Break()
			}
			s.Events(w, lastEventID+1, 6, 0)
		}
	}
	allEvents := ""
	for id := 1; id <= 6; id++ {
		allEvents += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
	}
	t.Run("a resumable stream continues at another upstream", func(t *testing.T) {
		d := newDeployment(t)
		one, two := d.startServer("i-1", "svc", interrupting), d.startServer("i-2", "svc", interrupting)
		got := d.startReadyFront("front-1").call(http.MethodPost, "/verdict/x", "r", nil)
		require.NoError(t, got.err)
		require.Equal(t, allEvents, got.body)
		seen := append(one.Seen(), two.Seen()...)
		require.Len(t, seen, 2)
	})
	t.Run("a stream that is not resumable is interrupted", func(t *testing.T) {
		d := newDeployment(t)
		d.startServer("i-1", "svc", interrupting)
		d.startServer("i-2", "svc", interrupting)
		got := d.startReadyFront("front-1").call(http.MethodPost, "/draft/x", "r", nil)
		require.Error(t, got.err, "the response must not appear complete")
		require.True(t, strings.HasPrefix(allEvents, got.body), "only complete events are forwarded")
	})
	t.Run("events are forwarded without delay", func(t *testing.T) {
		d := newDeployment(t)
		d.startServer("i-1", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
			return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
				s.Events(w, 1, 1, 0)
				<-release
				s.Events(w, 2, 6, 0)
			}
		})
		f := d.startReadyFront("front-1")
		req, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddress+"/draft/x", nil)
		require.NoError(t, err)
		req.Host = "gates.example"
		req.Header.Set("X-Api-Key", "key-1")
		req.Header.Set("Request-Id", "r")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		buf := make([]byte, 1024)
		n, err := resp.Body.Read(buf)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: token 1\n\n", string(buf[:n]))
		close(release)
	})
}

// Guards against a run that continues at its upstream after its caller has closed the
// connection.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	d := newDeployment(t)
	canceled := make(chan struct{})
	d.startServer("i-1", "svc", func(*standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(_ http.ResponseWriter, r *http.Request, _ []byte) {
			<-r.Context().Done()
			close(canceled)
		}
	})
	f := d.startReadyFront("front-1")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, f.callWithContext(ctx, http.MethodPost, "/log/x", "r", nil).err)
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Fatal("the upstream still processes the call")
	}
}

// Guards against a route timeout that is not reported as 504, but for example as a
// status that states that the call has not run.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", func(*standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(_ http.ResponseWriter, r *http.Request, _ []byte) { <-r.Context().Done() }
	})
	got := d.startReadyFront("front-1").call(http.MethodGet, "/slow/x", "r", nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
}

// Guards against a server's error response that is replaced by one of the front when
// the retry budget is used up.
func TestServerFailureIsForwardedWithoutRetryBudget(t *testing.T) {
	d := newDeployment(t)
	failing := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(rw http.ResponseWriter, _ *http.Request, _ []byte) {
			s.Answer(rw, http.StatusInternalServerError, "failed at "+s.ID)
		}
	}
	one, two := d.startServer("i-1", "svc", failing), d.startServer("i-2", "svc", failing)
	f := d.startReadyFront("front-1")
	const calls = 40
	for i := range calls {
		got := f.call(http.MethodGet, "/read/x", fmt.Sprintf("r-%d", i), nil)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusInternalServerError, got.status)
		require.NotEmpty(t, got.header.Get("Response-Seal"))
	}
	require.Less(t, len(one.Seen())+len(two.Seen()), 2*calls, "the retry budget was never used up")
}
