package frontend_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	refusalHead = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nX-Reason: queue full\r\nContent-Length: 0\r\n\r\n"
	successHead = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\n"
)

// Guards against a call that has run and is answered as not run, or is sent to a second
// server, because its server writes a refusal of another request on a kept connection.
// The refusal may be whole or cut, so that the head of the real answer continues it.
func TestRefusalOfAnotherRequestIsNoProof(t *testing.T) {
	extras := map[string]string{
		"whole":                     fmt.Sprintf(refusalHead, "earlier"),
		"without id":                "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"with an empty id":          "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: \r\nContent-Length: 0\r\n\r\n",
		"421 without id":            "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"with a body":               "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nRequest-Id: earlier\r\nContent-Length: 4\r\n\r\nfull",
		"several":                   fmt.Sprintf(refusalHead+refusalHead, "earlier", "earlier"),
		"after an interim answer":   "HTTP/1.1 100 Continue\r\n\r\n" + fmt.Sprintf(refusalHead, "earlier"),
		"cut in a header":           "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nX-Reason: queue f",
		"cut before a header value": "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nX-Reason:",
		"cut in a folded header":    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n ",
		"cut in the status line":    "HTTP/1.1 421 Misdir",
		"cut after the id":          "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: earlier\r\nX-Reason: q",
	}
	whole := fmt.Sprintf(refusalHead, "earlier")
	for cut := 1; cut < len(whole); cut++ {
		extras[fmt.Sprintf("cut after %d bytes", cut)] = whole[:cut]
	}
	d := newDeployment(t)
	var extra atomic.Value
	var runs atomic.Int64
	answer := func(conn net.Conn, r rawRequest) bool {
		runs.Add(1)
		if r.number > 1 {
			write(t, conn, extra.Load().(string))
		}
		write(t, conn, fmt.Sprintf(successHead, r.id)+"done")
		return true
	}
	d.startRawUpstream("i-1", answer)
	d.startRawUpstream("i-2", answer)
	f := d.startReadyFront("front-1")
	for name, text := range extras {
		t.Run(name, func(t *testing.T) {
			extra.Store("")
			for i := range 4 { // opens connections that are kept
				require.NoError(t, f.call(http.MethodPost, "/log/x", fmt.Sprintf("earlier-%d", i), nil).err)
			}
			extra.Store(text)
			runs.Store(0)
			got := f.call(http.MethodPost, "/log/x", "r", func(r *http.Request) { r.Header.Set("Deadline-Ms", "300") })
			require.NoError(t, got.err)
			require.LessOrEqual(t, runs.Load(), int64(1), "a call that may have run is sent again")
			require.Contains(t, []int{http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout}, got.status, "answered as not run")
			if got.status == http.StatusOK {
				require.Equal(t, "done", got.body)
			}
		})
	}
}

// Guards against a call without an id that is answered as not run, because an earlier
// refusal without an id is written once more on a kept connection.
func TestCallWithoutIDGetsNoEarlierRefusal(t *testing.T) {
	d := newDeployment(t)
	d.startRawUpstream("i-1", func(conn net.Conn, r rawRequest) bool {
		if r.number > 1 {
			write(t, conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		id := ""
		if r.id != "" {
			id = "Request-Id: " + r.id + "\r\n"
		}
		write(t, conn, "HTTP/1.1 200 OK\r\n"+id+"Response-Seal: s\r\nContent-Length: 4\r\n\r\ndone")
		return true
	})
	f := d.startReadyFront("front-1")
	require.Equal(t, http.StatusOK, f.call(http.MethodPost, "/log/x", "earlier", nil).status)
	got := f.call(http.MethodPost, "/log/x", "", func(r *http.Request) { r.Header.Del("Request-Id") })
	require.NoError(t, got.err)
	require.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, got.status)
}

// Guards against a call that is answered as not run, or sent to a second server,
// although its server has answered it with success.
func TestSuccessIsNoProofOfNotRun(t *testing.T) {
	cases := map[string]struct{ path, seal, body string }{
		"unsafe":                {"/log/x", "Response-Seal: s\r\n", "done"},
		"unsafe without seal":   {"/log/x", "", "done"},
		"unsafe, cut":           {"/log/x", "Response-Seal: s\r\n", "do"},
		"stream":                {"/draft/x", "Response-Seal: s\r\n", "id: 1\n\n"},
		"stream without a seal": {"/draft/x", "", "id: 1\n\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var runs atomic.Int64
			answer := func(conn net.Conn, r rawRequest) bool {
				runs.Add(1)
				length := max(len(c.body), len("done"))
				write(t, conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sNot-Executed: 1\r\nContent-Length: %d\r\n\r\n%s", r.id, c.seal, length, c.body))
				return false
			}
			d.startRawUpstream("i-1", answer)
			d.startRawUpstream("i-2", answer)
			got := d.startReadyFront("front-1").call(http.MethodPost, c.path, "r", nil)
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.status)
			require.Equal(t, int64(1), runs.Load())
		})
	}
}

// Guards against a call that is answered as not run, or sent to a second server, although
// the status of its server says that it has failed there.
func TestFailureIsNoProofOfNotRun(t *testing.T) {
	for _, status := range []string{"500 Internal Server Error", "504 Gateway Timeout", "502 Bad Gateway", "404 Not Found"} {
		for _, seal := range []string{"Response-Seal: s\r\n", ""} {
			t.Run(status+" "+seal, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				var runs atomic.Int64
				answer := func(conn net.Conn, r rawRequest) bool {
					runs.Add(1)
					write(t, conn, fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, r.id, seal))
					return false
				}
				d.startRawUpstream("i-1", answer)
				d.startRawUpstream("i-2", answer)
				got := d.startReadyFront("front-1").call(http.MethodPost, "/log/x", "r", nil)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Equal(t, int64(1), runs.Load())
			})
		}
	}
}

// Guards against a call that waits until its deadline and is lost, because a server that
// has refused it does not send the body of the refusal, although another server is free.
func TestRefusalWithoutItsBodyIsRetried(t *testing.T) {
	const head = "HTTP/1.1 %s\r\nNot-Executed: 1\r\nRequest-Id: %s\r\n"
	statuses := map[string]string{"busy": "503 Service Unavailable", "wrong server": "421 Misdirected Request"}
	framings := map[string]string{
		"length": "Content-Length: 9\r\n\r\nbus", "chunks": "Transfer-Encoding: chunked\r\n\r\n9\r\nbus", "until close": "\r\nbus",
	}
	for statusName, status := range statuses {
		for framingName, framing := range framings {
			t.Run(statusName+", "+framingName, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				var refused atomic.Int64
				answer := func(conn net.Conn, r rawRequest) bool {
					if refused.Add(1) == 1 {
						write(t, conn, fmt.Sprintf(head, status, r.id)+framing)
						return true // the connection stays open
					}
					write(t, conn, fmt.Sprintf(successHead, r.id)+"done")
					return true
				}
				d.startRawUpstream("i-1", answer)
				d.startRawUpstream("i-2", answer)
				got := d.startReadyFront("front-1").call(http.MethodPost, "/log/x", "r", nil)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "done", got.body)
			})
		}
	}
}
