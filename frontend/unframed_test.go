package frontend_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a stream without length and chunks whose server ends inside an event,
// or before the first one, and that is forwarded as a complete answer.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	unframed := func(body string) handlerFactory {
		return func(*standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
			return func(w http.ResponseWriter, r *http.Request, _ []byte) {
				conn := hijack(t, w)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Request-Id"), body)
				_ = conn.Close()
			}
		}
	}
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	d := newDeployment(t)
	broken := d.startServer("i-1", "svc", unframed(first+"id: 2\nda"))
	f := d.startReadyFront("front-1")
	got := f.call(http.MethodPost, "/draft/x", "r-1", nil)
	require.Error(t, got.err, "a broken stream ends like a complete one")
	require.Equal(t, first, got.body)

	broken.Script = unframed("")(broken)
	got = f.call(http.MethodPost, "/draft/x", "r-2", nil)
	require.True(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)

	broken.Script = unframed(first + second)(broken)
	got = f.call(http.MethodPost, "/draft/x", "r-3", nil)
	require.NoError(t, got.err, "a stream that ends with its connection is complete")
	require.Equal(t, first+second, got.body)

	d = newDeployment(t)
	d.startServer("i-1", "svc", unframed(first+"id: 2\nda"))
	var resumed atomic.Bool
	d.startServer("i-2", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			if r.Header.Get("Last-Event-Id") == "1" {
				resumed.Store(true)
				s.Events(w, 2, 3, 0)
				return
			}
			s.Events(w, 1, 3, 0)
		}
	})
	f = d.startReadyFront("front-1")
	d.eventually(func() bool {
		got := f.call(http.MethodPost, "/verdict/x", "r-4", nil)
		if got.err != nil {
			return false // broken off without a retry budget
		}
		require.Contains(t, got.body, "id: 3\n")
		require.Equal(t, 1, strings.Count(got.body, "id: 2\n"))
		return resumed.Load()
	}, "the broken stream is not resumed")
}

// Guards against the refusal of all prompts of a route whose streams end with their
// connections: a few ordinary crashes quarantined the part that they share, and no answer
// released it.
func TestSharedPartIsServedWhereStreamsEndWithConnections(t *testing.T) {
	const (
		knownParts    = 10500 * time.Millisecond // a front then knows which parts are in use
		crashesEnd    = knownParts + 3*time.Second
		duration      = crashesEnd + 2*time.Second
		soundInterval = 5 * time.Millisecond
		crashInterval = 350 * time.Millisecond
	)
	d := newDeployment(t)
	cluster := d.startCrashingServers(8)
	cluster.unframed.Store(true)
	fronts := []*front{d.startReadyFront("front-1"), d.startReadyFront("front-2")}
	var calls sync.WaitGroup
	var lateSent, lateServed atomic.Int32
	start := time.Now()
	nextCrash, crashes := start.Add(knownParts), 0
	for i := 0; time.Since(start) < duration; i++ {
		late := time.Since(start) > crashesEnd
		calls.Go(func() {
			got := fronts[i%len(fronts)].call(http.MethodPost, "/verdict/x", fmt.Sprint("r-", i), func(r *http.Request) {
				r.Header.Set("Model", "m1")
				r.Header.Set("Token-Usage", "100,10")
				r.Header.Set("Prompt-Prefix", fmt.Sprintf("common:50,own-%d:5", i))
			})
			if late {
				lateSent.Add(1)
			}
			if late && got.err == nil && got.status == http.StatusOK {
				lateServed.Add(1)
			}
		})
		if now := time.Now(); now.After(nextCrash) && now.Before(start.Add(crashesEnd)) {
			cluster.servers[crashes%len(cluster.servers)].crash()
			crashes++
			nextCrash = nextCrash.Add(crashInterval)
		}
		time.Sleep(soundInterval)
	}
	calls.Wait()
	require.GreaterOrEqual(t, float64(lateServed.Load()), 0.9*float64(lateSent.Load()), "sound calls are not served after %d crashes", crashes)
}
