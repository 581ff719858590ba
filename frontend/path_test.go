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

type script = func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte)

// Guards against a request that is changed on its way, and against headers that
// only the system may set and that a caller forges.
func TestRequestReachesItsUpstreamUnchanged(t *testing.T) {
	w := newWorld(t)
	s := w.server("i-1", "svc", nil)
	f := w.front("front-1")
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
	left := 0
	_, err := fmt.Sscan(r.Header.Get("Deadline-Ms"), &left)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 2500)
	require.Positive(t, left)
}

// Guards against wrong answers to calls that no route or key allows, and
// against the wrong route among those whose prefixes match.
func TestRoutesAndKeys(t *testing.T) {
	w := newWorld(t)
	w.server("i-1", "svc", nil)
	w.server("i-2", "other", nil)
	f := w.front("front-1")
	cases := map[string]struct {
		path, host, key string
		status          int
		body            string
	}{
		"route":           {"/read/x", "gates.example", "key-1", http.StatusOK, "served by i-1"},
		"longest prefix":  {"/read/inner/x", "gates.example", "key-1", http.StatusOK, "served by i-2"},
		"unknown key":     {"/read/x", "gates.example", "key-2", http.StatusUnauthorized, ""},
		"no key":          {"/read/x", "gates.example", "", http.StatusUnauthorized, ""},
		"public route":    {"/open/x", "gates.example", "", http.StatusOK, "served by i-1"},
		"unknown path":    {"/nothing/x", "gates.example", "key-1", http.StatusNotFound, ""},
		"unknown host":    {"/read/x", "elsewhere.example", "key-1", http.StatusNotFound, ""},
		"prefix as a cut": {"/readx", "gates.example", "key-1", http.StatusNotFound, ""},
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

// Guards against records that run twice or are refused although they ran, and
// against calls that are not repeated although they may be.
func TestRepeatsFollowTheKindAndTheProof(t *testing.T) {
	lost := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(http.ResponseWriter, *http.Request, []byte) { s.Break() }
	}
	rejecting := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) { s.Reject(w) }
	}
	short := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
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
	thenRejecting := func(first script) script {
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
		path   string
		first  script
		sends  int
		status int
	}{
		"reading that failed and is then rejected":     {"/read/x", thenRejecting(failing), 2, http.StatusInternalServerError},
		"reading without answer that is then rejected": {"/read/x", thenRejecting(lost), 2, http.StatusBadGateway},
		"record without answer":                        {"/log/x", lost, 1, http.StatusBadGateway},
		"record with half an answer":                   {"/log/x", short, 1, http.StatusBadGateway},
		"record that was rejected":                     {"/log/x", rejecting, 2, http.StatusServiceUnavailable},
		"record that failed":                           {"/log/x", failing, 1, http.StatusInternalServerError},
		"reading without answer":                       {"/read/x", lost, 2, http.StatusBadGateway},
		"reading with half an answer":                  {"/read/x", short, 2, http.StatusBadGateway},
		"reading that failed":                          {"/read/x", failing, 2, http.StatusInternalServerError},
		"draft without answer":                         {"/draft/x", lost, 1, http.StatusBadGateway},
		"verdict without answer":                       {"/verdict/x", lost, 2, http.StatusBadGateway},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			one, two := w.server("i-1", "svc", c.first), w.server("i-2", "svc", c.first)
			got := w.front("front-1").call(http.MethodPost, c.path, "r", nil)
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Len(t, append(one.Seen(), two.Seen()...), c.sends)
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against an answer to an earlier request that is passed to the next
// caller on the same connection.
func TestAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	w := newWorld(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	go serveTwice(l)
	w.list("i-1", "svc", l.Addr().String(), "ready")
	f := w.front("front-1")
	for _, id := range []string{"r-1", "r-2", "r-3"} {
		got := f.call(http.MethodGet, "/read/x", id, nil)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "answer to "+id, got.body)
	}
}

// serveTwice answers each request and, just before the next answer, sends the
// previous answer once more.
func serveTwice(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			previous := ""
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
				body := "answer to " + id
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
				if _, err := conn.Write([]byte(previous + answer)); err != nil {
					return
				}
				previous = answer
			}
		}()
	}
}

// Guards against events that are held back, lost or doubled, and against a
// stream that looks complete although it broke off.
func TestStreams(t *testing.T) {
	var held atomic.Pointer[chan struct{}]
	gate := make(chan struct{})
	held.Store(&gate)
	broken := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			last := 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
			if last == 0 {
				s.Events(w, 1, 3, 0)
				_, _ = w.Write([]byte("id: 4\ndata: hal"))
				_ = http.NewResponseController(w).Flush()
				s.Break()
			}
			s.Events(w, last+1, 6, 0)
		}
	}
	whole := ""
	for id := 1; id <= 6; id++ {
		whole += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
	}
	t.Run("a resumable stream goes on elsewhere", func(t *testing.T) {
		w := newWorld(t)
		one, two := w.server("i-1", "svc", broken), w.server("i-2", "svc", broken)
		got := w.front("front-1").call(http.MethodPost, "/verdict/x", "r", nil)
		require.NoError(t, got.err)
		require.Equal(t, whole, got.body)
		seen := append(one.Seen(), two.Seen()...)
		require.Len(t, seen, 2)
	})
	t.Run("another stream is cut", func(t *testing.T) {
		w := newWorld(t)
		w.server("i-1", "svc", broken)
		w.server("i-2", "svc", broken)
		got := w.front("front-1").call(http.MethodPost, "/draft/x", "r", nil)
		require.Error(t, got.err, "the answer must not look complete")
		require.True(t, strings.HasPrefix(whole, got.body), "only whole events are passed on")
	})
	t.Run("events are passed on as they come", func(t *testing.T) {
		w := newWorld(t)
		w.server("i-1", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
			return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
				s.Events(w, 1, 1, 0)
				<-gate
				s.Events(w, 2, 6, 0)
			}
		})
		f := w.front("front-1")
		req, err := http.NewRequest(http.MethodPost, "http://"+f.callers+"/draft/x", nil)
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
		close(gate)
	})
}

// Guards against a run that goes on at its upstream after its caller has left.
func TestCallersLeavingEndsTheRun(t *testing.T) {
	w := newWorld(t)
	left := make(chan struct{})
	w.server("i-1", "svc", func(*standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(_ http.ResponseWriter, r *http.Request, _ []byte) {
			<-r.Context().Done()
			close(left)
		}
	})
	f := w.front("front-1")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, f.callContext(ctx, http.MethodPost, "/log/x", "r", nil).err)
	select {
	case <-left:
	case <-time.After(patience):
		t.Fatal("the upstream still works on the call")
	}
}

// Guards against a caller that hears of its route's time limit too late, and
// against a promise that a call has not run when it may have.
func TestTimeLimitOfTheRoute(t *testing.T) {
	w := newWorld(t)
	w.server("i-1", "svc", func(*standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(_ http.ResponseWriter, r *http.Request, _ []byte) { <-r.Context().Done() }
	})
	got := w.front("front-1").call(http.MethodGet, "/slow/x", "r", nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
}

// Guards against a server's failure that is replaced by one of the system's own
// when the budget for repeats is used up.
func TestServersFailureIsPassedOnWithoutBudget(t *testing.T) {
	w := newWorld(t)
	failing := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(rw http.ResponseWriter, _ *http.Request, _ []byte) {
			s.Answer(rw, http.StatusInternalServerError, "failed at "+s.ID)
		}
	}
	one, two := w.server("i-1", "svc", failing), w.server("i-2", "svc", failing)
	f := w.front("front-1")
	const calls = 40
	for i := range calls {
		got := f.call(http.MethodGet, "/read/x", fmt.Sprintf("r-%d", i), nil)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusInternalServerError, got.status)
		require.NotEmpty(t, got.header.Get("Response-Seal"))
	}
	require.Less(t, len(one.Seen())+len(two.Seen()), 2*calls, "the budget was never used up")
}
