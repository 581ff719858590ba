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
	streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
	eventOne   = "id: 1\ndata: a\n\n"
	eventTwo   = "id: 2\ndata: b\n\n"
	eventThree = "id: 3\ndata: c\n\n"
)

func framed(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// resumeCase is a response to a request that resumes a stream after its second event.
type resumeCase struct {
	// response has the verb %s for the id of the request.
	response string
	complete bool
}

// Guards against an error response, or a response that does not continue the events, in
// the middle of a resumed stream, and against a stream that such a response ends as if
// it were complete.
func TestResumedStreamContinuesOrIsBrokenOff(t *testing.T) {
	const sealed = "Request-Id: %s\r\nResponse-Seal: s\r\n"
	const sseType = "Content-Type: text/event-stream\r\n"
	cases := map[string]resumeCase{
		"remaining event":                    {framed(streamHead, eventThree), true},
		"remaining event with a charset":     {framed("HTTP/1.1 200 OK\r\n"+sealed+"Content-Type: text/event-stream; charset=utf-8\r\n", eventThree), true},
		"comment, then the remaining event":  {framed(streamHead, ": wait\n\n"+eventThree), true},
		"remaining event, unframed":          {streamHead + "\r\n" + eventThree, true},
		"remaining event without a type":     {framed("HTTP/1.1 200 OK\r\n"+sealed, eventThree), true},
		"nothing remains":                    {framed(streamHead, ""), true},
		"nothing, unframed":                  {streamHead + "\r\n", false},
		"event without an id":                {framed(streamHead, "data: error\n\n"), false},
		"events from the beginning":          {framed(streamHead, eventOne+eventTwo+eventThree), false},
		"only events that were received":     {framed(streamHead, eventTwo), false},
		"id that is no number":               {framed(streamHead, "id: x\ndata: error\n\n"), false},
		"text that is no event":              {framed(streamHead, "internal error\n\n"), false},
		"head of an error in the stream":     {streamHead + "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false},
		"500":                                {framed("HTTP/1.1 500 Internal Server Error\r\n"+sealed, "error\n\n"), false},
		"500 as event stream":                {framed("HTTP/1.1 500 Internal Server Error\r\n"+sealed+sseType, eventThree), false},
		"500 without seal":                   {framed("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\n", "error\n\n"), false},
		"500 that is cut":                    {"HTTP/1.1 500 Internal Server Error\r\n" + sealed + "Content-Length: 100\r\n\r\nerror\n\n", false},
		"502":                                {framed("HTTP/1.1 502 Bad Gateway\r\n"+sealed, "error\n\n"), false},
		"404":                                {framed("HTTP/1.1 404 Not Found\r\n"+sealed, "error\n\n"), false},
		"404 without seal":                   {framed("HTTP/1.1 404 Not Found\r\nRequest-Id: %s\r\n", "error\n\n"), false},
		"302":                                {framed("HTTP/1.1 302 Found\r\n"+sealed+"Location: /other\r\n", "error\n\n"), false},
		"429":                                {framed("HTTP/1.1 429 Too Many Requests\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n", "error\n\n"), false},
		"421":                                {framed("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n", "error\n\n"), false},
		"503 without proof":                  {framed("HTTP/1.1 503 Service Unavailable\r\n"+sealed, "error\n\n"), false},
		"success without seal":               {framed("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"+sseType, eventThree), false},
		"success of another type":            {framed("HTTP/1.1 200 OK\r\n"+sealed+"Content-Type: application/json\r\n", "{}\n\n"), false},
		"success of another type with event": {framed("HTTP/1.1 200 OK\r\n"+sealed+"Content-Type: text/plain\r\n", eventThree), false},
		"empty success of another type":      {framed("HTTP/1.1 200 OK\r\n"+sealed+"Content-Type: text/plain\r\n", ""), false},
		"204":                                {"HTTP/1.1 204 No Content\r\n" + sealed + "\r\n", false},
		"no response":                        {"", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var resumed atomic.Int64
			answer := func(conn net.Conn, r rawRequest) bool {
				if r.lastEventID == "" {
					write(t, conn, fmt.Sprintf(streamHead+"Content-Length: 1000\r\n\r\n", r.id)+eventOne+eventTwo)
					return false
				}
				resumed.Add(1)
				if c.response != "" {
					write(t, conn, fmt.Sprintf(c.response, r.id))
				}
				return false
			}
			d.startRawUpstream("i-1", answer)
			d.startRawUpstream("i-2", answer)
			got := d.startReadyFront("front-1").call(http.MethodPost, "/verdict/x", "r", nil)
			require.Equal(t, int64(1), resumed.Load())
			require.Equal(t, http.StatusOK, got.status)
			if !c.complete {
				require.Error(t, got.err, "the stream appears complete: %q", got.body)
				require.Equal(t, eventOne+eventTwo, got.body)
				return
			}
			require.NoError(t, got.err)
			require.Contains(t, []string{eventOne + eventTwo, eventOne + eventTwo + eventThree, eventOne + eventTwo + ": wait\n\n" + eventThree}, got.body)
		})
	}
}

// Guards against a response that a server writes into its stream without a length or
// chunks, and that is forwarded as a part of the stream.
func TestResponseInsideStreamIsNotForwarded(t *testing.T) {
	const inner = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\nerror\n\n"
	cases := map[string]struct{ first, resumed string }{
		"broken off and resumed": {eventOne + inner, eventTwo + eventThree},
		"inside a resumed one":   {eventOne, eventTwo + inner},
		"cut in its head":        {eventOne + "HTTP/1.1 503 Service Unavailable\r\nNot-Exec", eventTwo},
		"between two lines":      {eventOne + "id: 2\n" + inner, eventTwo + eventThree},
		"inside a line":          {eventOne + "id: 2\ndata: b" + inner, eventTwo + eventThree},
		"inside an id":           {eventOne + "id: 2" + inner, eventTwo + eventThree},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			answer := func(conn net.Conn, r rawRequest) bool {
				head := fmt.Sprintf(streamHead, r.id)
				switch {
				case r.lastEventID != "":
					write(t, conn, head+"\r\n"+c.resumed)
				case name == "inside a resumed one":
					write(t, conn, head+"Content-Length: 100\r\n\r\n"+c.first)
				default:
					write(t, conn, head+"\r\n"+c.first)
				}
				return false
			}
			d.startRawUpstream("i-1", answer)
			d.startRawUpstream("i-2", answer)
			got := d.startReadyFront("front-1").call(http.MethodPost, "/verdict/x", "r", nil)
			if name == "inside a resumed one" {
				require.Error(t, got.err)
				require.Equal(t, eventOne+eventTwo, got.body)
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, eventOne+c.resumed, got.body)
		})
	}
}

// Guards against events that are missing or sent twice when a stream is resumed although
// its position is not certain. Ids increase, but need not be consecutive.
func TestStreamIsResumedAtCertainPositionsOnly(t *testing.T) {
	const unnumbered, named, comment, five = "data: x\n\n", "id: a\ndata: a\n\n", ": wait\n\n", "id: 5\ndata: e\n\n"
	cases := map[string]struct {
		first, resumed, want string
		attempts             int64
		complete             bool
	}{
		"after an id":                  {eventOne, eventTwo, eventOne + eventTwo, 2, true},
		"after a comment":              {eventOne + comment, eventTwo, eventOne + comment + eventTwo, 2, true},
		"later id":                     {eventOne, five, eventOne + five, 2, true},
		"after a section without id":   {eventOne + unnumbered, unnumbered + eventTwo, eventOne + unnumbered, 1, false},
		"after an id behind one":       {eventOne + unnumbered + eventTwo, eventThree, eventOne + unnumbered + eventTwo + eventThree, 2, true},
		"same id that is no number":    {named, named, named, 2, false},
		"another id that is no number": {named, "id: b\ndata: b\n\n", named + "id: b\ndata: b\n\n", 2, true},
		"last event, then the next":    {eventOne + eventTwo, eventTwo + eventThree, eventOne + eventTwo + eventThree, 2, true},
		"last event twice":             {eventOne + eventTwo, eventTwo + eventTwo + eventThree, eventOne + eventTwo, 2, false},
		"only the last event":          {eventOne + eventTwo, eventTwo, eventOne + eventTwo, 2, false},
		"first event, then the next":   {eventOne, eventOne + eventTwo, eventOne, 2, false},
		"last two events":              {eventOne + eventTwo, eventOne + eventTwo + eventThree, eventOne + eventTwo, 2, false},
		"changed last event":           {eventOne, "id: 1\ndata: z\n\n" + eventTwo, eventOne, 2, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var attempts atomic.Int64
			answer := func(conn net.Conn, r rawRequest) bool {
				if attempts.Add(1) == 1 {
					write(t, conn, fmt.Sprintf(streamHead+"Content-Length: 1000\r\n\r\n", r.id)+c.first)
					return false
				}
				write(t, conn, fmt.Sprintf(framed(streamHead, c.resumed), r.id))
				return false
			}
			d.startRawUpstream("i-1", answer)
			d.startRawUpstream("i-2", answer)
			got := d.startReadyFront("front-1").call(http.MethodPost, "/verdict/x", "r", nil)
			require.Equal(t, c.want, got.body)
			require.Equal(t, c.complete, got.err == nil, "%v", got.err)
			require.Equal(t, c.attempts, attempts.Load())
		})
	}
}
