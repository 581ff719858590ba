package frontend_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

const (
	// memoryMB is the memory of the front. responseShare is the share of it that
	// unfinished responses may hold together (docs/settings.md).
	memoryMB      = 64
	responseShare = 0.25
	// faultyCalls is the number of concurrent calls to faulty servers. callBytes is the
	// memory in bytes that one call may use otherwise, with the test's caller and server.
	faultyCalls = 96
	callBytes   = 64 << 10
	// soundCalls is the number of calls to a sound server in the meantime.
	soundCalls = 20
	// memorySamples is the number of times that the memory is read after the servers have
	// sent what the front accepts.
	memorySamples = 10
)

// unfinished is the beginning of a response whose end never comes.
type unfinished struct {
	path string
	// text has the verb %s for the id of the request.
	text string
}

// unfinishedResponses returns responses of which each is within the limits of one response,
// and which are followed by nothing.
func unfinishedResponses() map[string]unfinished {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
	return map[string]unfinished{
		"long head": {"/log/x", head + headers(250<<10)},
		"head":      {"/log/x", head + headers(31<<10)},
		"event":     {"/draft/x", head + "\r\ndata: " + strings.Repeat("x", 1000<<10)},
		"body":      {"/log/x", head + "\r\n" + strings.Repeat("x", 250<<10)},
	}
}

// headers returns short headers of a number of bytes together.
func headers(size int) string {
	var text bytes.Buffer
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "X%05x:y\r\n", i)
	}
	return text.String()
}

// faultyServer sends unfinished responses.
type faultyServer struct {
	responses []unfinished
	// sent receives an element when a response was sent or its connection was closed.
	sent chan struct{}
}

// answer sends the response that belongs to the path and waits until the front closes the
// connection.
func (s *faultyServer) answer(conn net.Conn, r *http.Request, _ int) bool {
	id := r.Header.Get("Request-Id")
	for _, response := range s.responses {
		if strings.HasPrefix(id, response.path) {
			head, rest, _ := strings.Cut(response.text, "%s")
			_, _ = io.WriteString(conn, head+id)
			_, _ = io.WriteString(conn, rest)
			break
		}
	}
	s.sent <- struct{}{}
	_, _ = conn.Read(make([]byte, 1))
	return false
}

// liveHeapBytes returns the memory of the objects that are in use.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// configureMemoryTest allows the calls of the test at the same time and gives them time.
func configureMemoryTest(config map[string]any) {
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "sound", "host": "gates.example", "prefix": "/sound/", "kind": "streaming", "service": "other",
		"target-latency-ms": 800, "priority": 1, "max-attempts": 1, "public": false,
	})
	for _, r := range config["routes"].([]any) {
		r.(map[string]any)["timeout-ms"] = 60_000
	}
	config["services"] = []any{
		map[string]any{"name": "svc", "max-connections": 1000}, map[string]any{"name": "other", "max-connections": 1000},
	}
}

// Guards against servers whose unfinished responses on many connections exhaust the memory
// of the front together, although each is within the limit of one response, and against
// sound calls that fail since such responses hold the memory that they need.
func TestUnfinishedResponsesAreBoundedTogether(t *testing.T) {
	all := unfinishedResponses()
	cases := map[string][]unfinished{
		"heads": {all["head"]}, "long heads": {all["long head"]}, "events": {all["event"]}, "bodies": {all["body"]}, "all": {all["head"], all["event"], all["body"]},
	}
	for name, responses := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure(configureMemoryTest)
			faulty := &faultyServer{responses: responses, sent: make(chan struct{}, faultyCalls)}
			for i := range 8 {
				server, err := standin.StartRaw(faulty.answer)
				require.NoError(t, err)
				t.Cleanup(server.Close)
				d.putUpstreamRow(fmt.Sprint("i-faulty-", i), "svc", server.Address(), "ready")
			}
			d.startServer("i-sound", "other", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
				return func(w http.ResponseWriter, r *http.Request, _ []byte) {
					if strings.HasPrefix(r.URL.Path, "/sound/") {
						s.Events(w, 1, 5, time.Millisecond)
						return
					}
					s.Answer(w, http.StatusOK, "served")
				}
			})
			f := newFront()
			f.memoryMB = memoryMB
			t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
			d.runFront("front-1", f)
			d.eventually(f.ready, "front is not ready")
			ctx, cancel := context.WithCancel(t.Context())
			var calls sync.WaitGroup
			defer calls.Wait()
			defer cancel()
			before := liveHeapBytes()
			for i := range faultyCalls {
				path := responses[i%len(responses)].path
				calls.Go(func() {
					f.callWithContext(ctx, http.MethodPost, path, fmt.Sprint(path, "-", i), func(r *http.Request) { r.Header.Set("Deadline-Ms", "60000") })
				})
			}
			for range faultyCalls {
				<-faulty.sent
			}
			held := int64(0)
			for range memorySamples {
				held = max(held, liveHeapBytes()-before)
				time.Sleep(20 * time.Millisecond)
			}
			for i := range soundCalls {
				path := []string{"/read/inner/x", "/sound/x"}[i%2]
				got := f.call(http.MethodPost, path, fmt.Sprint("sound-", i), nil)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
			}
			shareOfMemory := float64(responseShare * memoryMB * (1 << 20))
			require.LessOrEqual(t, held, int64(shareOfMemory)+faultyCalls*callBytes)
			cancel()
			calls.Wait()
			d.eventually(func() bool { return f.memoryUsed("responses") == 0 }, "memory of responses remains charged after their calls have ended")
		})
	}
}

// memoryUsed returns the memory in bytes that is charged for a kind of messages, or a
// negative number if the front does not state it.
func (f *front) memoryUsed(messages string) float64 {
	resp, err := http.Get("http://" + f.metricsAddress + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "memory_used_bytes") && strings.Contains(line, `messages="`+messages+`"`) {
			value, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
			if err != nil {
				return -1
			}
			return value
		}
	}
	return -1
}

// Guards against bodies of requests that exhaust the memory of the front together, and
// against small requests that are refused in the meantime. A request that is refused has
// not reached a server.
func TestUnfinishedRequestsAreBoundedTogether(t *testing.T) {
	const (
		smallMemoryMB   = 16
		requestShare    = 0.2 // docs/settings.md
		slowCalls       = 50
		sentBytes       = 900 << 10
		statedBodyBytes = 1 << 20
	)
	d := newDeployment(t)
	server := d.startServer("i-1", "svc", nil)
	f := newFront()
	f.memoryMB = smallMemoryMB
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	d.runFront("front-1", f)
	d.eventually(f.ready, "front is not ready")
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	var refused atomic.Int32
	for i := range slowCalls {
		calls.Go(func() {
			body, writer := io.Pipe()
			// The client waits for the body even when the context has ended.
			defer context.AfterFunc(ctx, func() { _ = writer.Close() })()
			calls.Go(func() { _, _ = writer.Write(make([]byte, sentBytes)) }) // the body does not end
			got := f.callWithContext(ctx, http.MethodPost, "/log/x", fmt.Sprint("slow-", i), func(r *http.Request) {
				r.Body, r.ContentLength = body, statedBodyBytes
				r.Header.Set("Deadline-Ms", "60000")
			})
			_ = body.Close()
			if got.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.header.Get("Retry-After"))
				refused.Add(1)
			}
		})
	}
	shareOfMemory := requestShare * smallMemoryMB * (1 << 20)
	d.eventually(func() bool {
		require.LessOrEqual(t, f.memoryUsed("requests"), shareOfMemory)
		return refused.Load() > 0
	}, "no request is refused")
	got := f.call(http.MethodPost, "/log/x", "small", nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Len(t, server.Seen(), 1)
	cancel()
	calls.Wait()
	d.eventually(func() bool { return f.memoryUsed("requests") == 0 }, "memory of requests remains charged after their calls have ended")
}
