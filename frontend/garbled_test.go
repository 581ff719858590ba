package frontend_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// garbledAnswer is a whole answer into which other bytes are inserted.
type garbledAnswer struct {
	path string
	// head has the verb %s for the id of the request. The answer is the head and the
	// framed body.
	head, framed, body string
}

func garbledAnswers() map[string]garbledAnswer {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
	const length, chunks = head + "Content-Length: %d\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n"
	const text = "twelve bytes"
	events := eventOne + eventTwo + eventThree + "id: 4\ndata: " + strings.Repeat("d", 60) + "\n\n"
	withLength := func(body string) string { return strings.Replace(length, "%d", fmt.Sprint(len(body)), 1) }
	inChunks := func(parts ...string) string {
		framed := ""
		for _, part := range parts {
			framed += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		return framed + "0\r\n\r\n"
	}
	return map[string]garbledAnswer{
		"length":              {"/log/x", withLength(text), text, text},
		"chunks":              {"/log/x", chunks, inChunks("twelve", " bytes"), text},
		"until close":         {"/log/x", head + "\r\n", text, text},
		"stream, length":      {"/draft/x", withLength(events), events, events},
		"stream, one chunk":   {"/draft/x", chunks, inChunks(events), events},
		"stream, chunks":      {"/draft/x", chunks, inChunks(events[:20], events[20:]), events},
		"stream, until close": {"/draft/x", head + "\r\n", events, events},
		"resumable, length":   {"/verdict/x", withLength(events), events, events},
		"resumable, chunk":    {"/verdict/x", chunks, inChunks(events), events},
	}
}

// remainder returns a whole answer to a request that resumes a stream.
func (a garbledAnswer) remainder(r rawRequest) string {
	rest := a.body
	if r.lastEventID != "" {
		_, rest, _ = strings.Cut(rest, "id: "+r.lastEventID+"\n")
		_, rest, _ = strings.Cut(rest, "\n\n")
	}
	return framed(fmt.Sprintf(streamHead, r.id), rest)
}

// Guards against an earlier refusal that a server writes once more at any place of its
// next answer: a call that has run must not be answered as not run or sent to another
// server, and its caller must get no byte of the refusal and no shorter answer that
// appears complete.
func TestRefusalInsideAnswerIsNotForwarded(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n"
	for name, c := range garbledAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var mu sync.Mutex
			runs := make(map[string]int)
			answer := func(conn net.Conn, r rawRequest) bool {
				mu.Lock()
				runs[r.id]++
				run := runs[r.id]
				mu.Unlock()
				whole := fmt.Sprintf(c.head, r.id) + c.framed
				var at int
				_, err := fmt.Sscanf(r.id, "at-%d", &at)
				if err == nil && run == 1 {
					write(t, conn, whole[:at]+refusal+whole[at:])
					return false
				}
				write(t, conn, c.remainder(r))
				return true
			}
			for i := range 4 {
				d.startRawUpstream(fmt.Sprintf("i-%d", i), answer)
			}
			f := d.startReadyFront("front-1")
			wholeLength := len(fmt.Sprintf(c.head, "at-000")) + len(c.framed)
			reached := 0
			for at := range wholeLength + 1 {
				id := fmt.Sprintf("at-%03d", at)
				got := f.call(http.MethodPost, c.path, id, nil)
				mu.Lock()
				run := runs[id]
				mu.Unlock()
				if run == 0 {
					continue
				}
				reached++
				require.True(t, c.path == "/verdict/x" || run == 1, "inserted at %d: sent %d times", at, run)
				refused := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout}
				require.False(t, slices.Contains(refused, got.status), "inserted at %d: answered as not run", at)
				if got.status == http.StatusOK {
					require.True(t, strings.HasPrefix(c.body, got.body), "inserted at %d: body %q", at, got.body)
					require.True(t, got.err != nil || got.body == c.body, "inserted at %d: %q appears complete", at, got.body)
				}
			}
			require.GreaterOrEqual(t, reached, wholeLength/2, "too few calls reach the server")
		})
	}
}
