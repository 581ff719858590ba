package frontend_test

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// crashingServer is a stand-in server that ends when it begins to answer a prompt
// with the part "bad". It starts again after downTime, as a new incarnation.
type crashingServer struct {
	d       *deployment
	id      string
	address string
	cluster *crashingCluster

	mu       sync.Mutex
	server   *http.Server
	born     int
	stopped  bool
	restarts sync.WaitGroup
}

// crashingCluster counts what the crashing servers of a test receive.
type crashingCluster struct {
	// unframed lets answers end with their connections.
	unframed atomic.Bool
	servers  []*crashingServer

	mu          sync.Mutex
	crashes     int
	fifthAt     time.Time
	badArrivals []time.Time
}

const downTime = 300 * time.Millisecond

func (d *deployment) startCrashingServers(n int) *crashingCluster {
	c := new(crashingCluster)
	for i := range n {
		s := &crashingServer{d: d, id: fmt.Sprintf("i-%d", i), address: freeAddress(), cluster: c}
		s.start()
		c.servers = append(c.servers, s)
		d.t.Cleanup(s.stop)
	}
	return c
}

// start opens the listener and lists the next incarnation.
func (s *crashingServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		s.d.t.Errorf("server %s cannot restart: %v", s.id, err)
		return
	}
	standIn := standin.NewPlatformServer(s.id)
	standIn.Script = s.serve(standIn)
	s.server = &http.Server{Handler: standIn, ErrorLog: log.New(io.Discard, "", 0)} //nolint:gosec // serves this test only
	s.born++
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	s.d.store.Put("servers", s.id, map[string]any{
		"service": "svc", "address": s.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "born": s.born,
	})
}

func (s *crashingServer) stop() {
	s.mu.Lock()
	s.stopped = true
	_ = s.server.Close()
	s.mu.Unlock()
	s.restarts.Wait()
}

func (s *crashingServer) serve(standIn *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		const prefill, eventPause = 20 * time.Millisecond, 5 * time.Millisecond
		if s.cluster.unframed.Load() {
			w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
		}
		bad := strings.Contains(r.Header.Get("Prompt-Prefix"), ",bad:")
		if bad {
			s.cluster.recordArrival()
		}
		time.Sleep(prefill)
		if bad {
			standIn.Events(w, 1, 0, 0) // the head of the answer
			s.crash()
			standIn.Break()
		}
		standIn.Events(w, 1, 5, eventPause)
	}
}

// crash closes all connections and starts the server again after downTime.
func (s *crashingServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
	s.cluster.recordCrash()
	s.restarts.Add(1)
	go func() {
		defer s.restarts.Done()
		time.Sleep(downTime)
		s.start()
	}()
}

func (c *crashingCluster) recordArrival() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.badArrivals = append(c.badArrivals, time.Now())
}

func (c *crashingCluster) recordCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes++; c.crashes == 5 {
		c.fifthAt = time.Now()
	}
}

// arrivalsAfter returns the number of calls with the bad part that arrived later than
// delay after the fifth crash, and the number of crashes.
func (c *crashingCluster) arrivalsAfter(delay time.Duration) (arrivals, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.badArrivals {
		if !c.fifthAt.IsZero() && at.Sub(c.fifthAt) > delay {
			arrivals++
		}
	}
	return arrivals, c.crashes
}

// Guards against a part of a prompt that crashes one server after the other because
// each front sends it again and none tells the others, and against sound prompts that
// are refused because they share other parts or the caller with it.
func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	const (
		knownAfter    = 3 * time.Second // the time in which all fronts must know the part
		duration      = 7 * time.Second
		soundInterval = 15 * time.Millisecond
		badInterval   = 160 * time.Millisecond
	)
	d := newDeployment(t)
	cluster := d.startCrashingServers(8)
	fronts := []*front{d.startReadyFront("front-1"), d.startReadyFront("front-2"), d.startReadyFront("front-3")}
	var calls sync.WaitGroup
	send := func(i int, prefix string, done func(response)) {
		calls.Go(func() {
			got := fronts[i%len(fronts)].call(http.MethodPost, "/verdict/x", fmt.Sprintf("%s-%d", prefix, i), func(r *http.Request) {
				r.Header.Set("Model", "m1")
				r.Header.Set("Token-Usage", "100,10")
				r.Header.Set("Prompt-Prefix", strings.ReplaceAll(prefix, "#", fmt.Sprint(i)))
			})
			if done != nil {
				done(got)
			}
		})
	}
	var lateSent, lateServed atomic.Int32
	start := time.Now()
	nextBad := start.Add(500 * time.Millisecond) // the parts have been answered before
	for i := 0; time.Since(start) < duration; i++ {
		late := time.Since(start) > duration-2*time.Second
		if late {
			lateSent.Add(1)
		}
		send(i, "common:50,history-0:20,own-#:5", func(got response) {
			if late && got.err == nil && got.status == http.StatusOK {
				lateServed.Add(1)
			}
		})
		if time.Now().After(nextBad) {
			send(i, "common:50,history-0:20,bad:20,own-b#:5", nil)
			nextBad = nextBad.Add(badInterval)
		}
		time.Sleep(soundInterval)
	}
	calls.Wait()
	arrivals, crashes := cluster.arrivalsAfter(knownAfter)
	require.GreaterOrEqual(t, crashes, 3, "the part was not tried")
	require.LessOrEqual(t, arrivals, 3, "calls with the part reached servers after all fronts must have known it; %d crashes", crashes)
	require.GreaterOrEqual(t, float64(lateServed.Load()), 0.9*float64(lateSent.Load()), "sound calls are not served")
}
