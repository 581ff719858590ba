package frontend_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a server that stops within its answer, at any byte of the head or the
// body, and closes the connection: the caller must not get a shorter answer that appears
// complete.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
	const events = eventOne + eventTwo
	cases := map[string]struct {
		path string
		// head has the verb %s for the id of the request. The answer is the head and the
		// framed body.
		head, framed, body string
		// untilClose is set when the answer ends with its connection. A cut of its body
		// cannot be distinguished from its end, except before the first byte and inside an
		// event.
		untilClose bool
	}{
		"length":              {"/log/x", head + "X-More: 1\r\nContent-Length: 12\r\n\r\n", "twelve bytes", "twelve bytes", false},
		"length first":        {"/log/x", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nResponse-Seal: s\r\nRequest-Id: %s\r\n\r\n", "twelve bytes", "twelve bytes", false},
		"chunks":              {"/log/x", head + "Transfer-Encoding: chunked\r\n\r\n", "6\r\ntwelve\r\n11;x=y\r\n bytes and more!!\r\n0\r\n\r\n", "twelve bytes and more!!", false},
		"chunks with trailer": {"/log/x", head + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\ntwelve\r\n0\r\nX-Sum: 6\r\n\r\n", "twelve", false},
		"until close":         {"/log/x", head + "\r\n", "twelve bytes", "twelve bytes", true},
		"stream, length":      {"/draft/x", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)), events, events, false},
		"stream, chunks":      {"/draft/x", head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(eventOne), eventOne, len(eventTwo), eventTwo), events, false},
		"stream, until close": {"/draft/x", head + "\r\n", events, events, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var length, sent atomic.Int64
			d.startRawUpstream("i-1", func(conn net.Conn, r rawRequest) bool {
				whole := fmt.Sprintf(c.head, r.id) + c.framed
				sent.Add(1)
				write(t, conn, whole[:min(int(length.Load()), len(whole))])
				return false
			})
			f := d.startReadyFront("front-1")
			headLength := len(fmt.Sprintf(c.head, "r"))
			wholeLength := headLength + len(c.framed)
			for cut := range wholeLength + 1 {
				length.Store(int64(cut))
				got := f.call(http.MethodPost, c.path, "r", nil)
				bodyCut := cut - headLength
				switch {
				case cut == wholeLength:
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, c.body, got.body)
				case c.untilClose && c.path == "/log/x" && bodyCut > 0, c.untilClose && bodyCut > 0 && c.framed[bodyCut-1] == '\n':
					if got.err == nil && got.status == http.StatusOK {
						require.Equal(t, c.framed[:bodyCut], got.body)
					}
				default:
					complete := got.err == nil && got.status == http.StatusOK
					require.False(t, complete, "cut after %d of %d bytes of the head: status %d, body %q", cut, headLength, got.status, got.body)
				}
			}
			require.GreaterOrEqual(t, sent.Load(), int64(wholeLength/2), "too few calls reach the server")
			t.Logf("%d of %d calls reached the server", sent.Load(), wholeLength+1)
		})
	}
}

// Guards against a JSON answer without a length that is cut inside a value, closed cleanly
// and forwarded as complete.
func TestCutJSONAnswerIsNotComplete(t *testing.T) {
	const jsonHead = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Type: "
	cases := map[string]struct {
		mediaType, body string
		complete        bool
	}{
		"whole":             {"application/json", `{"a": [1, "b"]}` + "\n", true},
		"several values":    {"application/json; charset=utf-8", "{\"a\": 1}\n{\"a\": 2}\n", true},
		"no JSON":           {"application/json", "done", true},
		"cut in an object":  {"application/json", `{"a": [1, "b"]`, false},
		"cut in a string":   {"application/json; charset=utf-8", `{"a": [1, "b`, false},
		"cut behind values": {"application/problem+json", "{\"a\": 1}\n{\"a\"", false},
		"another type":      {"text/plain", `{"a": [1, "b"]`, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startRawUpstream("i-1", func(conn net.Conn, r rawRequest) bool {
				write(t, conn, fmt.Sprintf(jsonHead, r.id)+c.mediaType+"\r\n\r\n"+c.body)
				return false
			})
			got := d.startReadyFront("front-1").call(http.MethodPost, "/log/x", "r", nil)
			require.NoError(t, got.err)
			if !c.complete {
				require.Equal(t, http.StatusBadGateway, got.status)
				return
			}
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, c.body, got.body)
		})
	}
}

// Guards against whole answers that are taken as joined with another response, because
// they quote one or because further bytes follow them.
func TestQuotedResponseIsForwarded(t *testing.T) {
	const quote = "got HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n"
	withLength := "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n"
	const quotingJSON = "{\n  \"log\": \"HTTP/1.1 404 Not Found\",\n  \"path\": \"/x\"\n}\n"
	cases := map[string]struct{ answer, body string }{
		"quoted in JSON":  {withLength + "Content-Type: application/json\r\n\r\n" + quotingJSON, quotingJSON},
		"quoted":          {framed(withLength, quote), quote},
		"followed by one": {framed(withLength, "done") + "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n", "done"},
		"quoted line":     {withLength + "\r\ngot HTTP/1.1 404 Not Found\r\nnothing else", "got HTTP/1.1 404 Not Found\r\nnothing else"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startRawUpstream("i-1", func(conn net.Conn, _ rawRequest) bool {
				write(t, conn, c.answer)
				return false
			})
			got := d.startReadyFront("front-1").call(http.MethodPost, "/log/x", "r", nil)
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, c.body, got.body)
		})
	}
}

// Guards against a head that is cut at any byte and counts as whole: the head of the
// response to a HEAD request, of one behind interim responses, and of an older version
// of the protocol.
func TestCutHeadIsNotComplete(t *testing.T) {
	const fields = "Request-Id: r\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\n"
	cases := map[string]struct{ method, head, body string }{
		"HEAD":            {http.MethodHead, "HTTP/1.1 200 OK\r\n" + fields, ""},
		"interim":         {http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields, "done"},
		"HEAD, interim":   {http.MethodHead, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + fields, ""},
		"older version":   {http.MethodPost, "HTTP/1.0 200 OK\r\n" + fields, "done"},
		"without reason":  {http.MethodPost, "HTTP/1.1 200\r\n" + fields, "done"},
		"lines of LF":     {http.MethodPost, "HTTP/1.1 200 OK\n" + "Request-Id: r\nResponse-Seal: s\nContent-Length: 4\n\n", "done"},
		"earlier refusal": {http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\n" + fields, "done"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var length, sent atomic.Int64
			answer := func(conn net.Conn, _ rawRequest) bool {
				sent.Add(1)
				write(t, conn, (c.head + c.body)[:length.Load()])
				return false
			}
			for i := range 4 {
				d.startRawUpstream(fmt.Sprintf("i-%d", i), answer)
			}
			f := d.startReadyFront("front-1")
			whole := len(c.head) + len(c.body)
			reached := 0
			for cut := range whole + 1 {
				length.Store(int64(cut))
				before := sent.Load()
				got := f.call(c.method, "/log/x", "r", nil)
				if sent.Load() == before {
					continue
				}
				reached++
				require.Equal(t, before+1, sent.Load(), "cut after %d bytes: sent again", cut)
				if cut == whole {
					require.Equal(t, http.StatusOK, got.status)
					continue
				}
				require.Equal(t, http.StatusBadGateway, got.status, "cut after %d bytes: %v, body %q", cut, got.err, got.body)
			}
			require.GreaterOrEqual(t, reached, whole/2, "too few calls reach the server")
		})
	}
}
