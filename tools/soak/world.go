package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
)

const (
	apiKey  = "key-1"
	host    = "gates.example"
	service = "svc"
	// eventPause is the time between two events of a stream.
	eventPause = 20 * time.Millisecond
	// recovery is how long after the last fault all is expected to work again, and
	// calmTime how long it is watched then.
	recovery = 5 * time.Second
	calmTime = 3 * time.Second
	// readyTime bounds the start of the fronts.
	readyTime = 15 * time.Second
	// grace is the time of a planned stop.
	grace = 3 * time.Second
	// firstPort lies below the range from which the kernel takes ports.
	firstPort = 21000
	// serverPort is the first port of the links to servers, which refuse connections for a
	// time and take their ports again.
	serverPort = 20000
	anyPort    = "127.0.0.1:0"
)

type options struct {
	Front   string
	Seed    uint64
	For     time.Duration
	Fronts  int
	Servers int
	Callers int
	// Lease is the lease of duties; leaseTime if it is 0.
	Lease time.Duration
	Logs  string
}

// Result is what a run has shown.
type Result struct {
	Seed          uint64
	Faults        []string
	Tried, Served int
	// Duties is the number of calls of duties that the platform has accepted.
	Duties int
	// LateWrites is the number of writes that reached the store after a restore, and
	// PerformedWrites that of those which took effect.
	LateWrites, PerformedWrites int
	Broken                      []string
	Logs                        string
}

// String returns a summary. It names the faults if a promise was broken.
func (r Result) String() string {
	lines := []string{fmt.Sprintf("seed %d: %d calls, %d served, %d duty calls, %d of %d late writes, %d faults, %d promises broken",
		r.Seed, r.Tried, r.Served, r.Duties, r.PerformedWrites, r.LateWrites, len(r.Faults), len(r.Broken))}
	if len(r.Broken) > 0 {
		lines = append(lines, r.Faults...)
	}
	return strings.Join(append(lines, r.Broken...), "\n")
}

// world is one run: stand-ins, links, fronts and callers.
type world struct {
	o       options
	store   *standin.PlatformStore
	storeAt string
	servers []*server
	fronts  []*front
	ledger  *ledger
	faults  []string
	closers []func()
	version atomic.Int32
	// cloud is the platform's interface for duties. lastHolder is the front that has
	// reported usage last.
	cloud      standin.PlatformDuties
	lastHolder atomic.Pointer[front]
	// evacuated is set for each of the zones while it is cut off or evacuated.
	evacuated [len(zones)]atomic.Bool
}

// server is a stand-in server behind a link.
type server struct {
	id       string
	zone     string
	link     *proxy
	failing  atomic.Int32
	draining atomic.Bool
	// down is set while the server has crashed, born is its incarnation.
	down atomic.Bool
	born atomic.Int32
}

// Ways in which a server fails a share of its calls.
const (
	sound int32 = iota
	losesAnswers
	rejects
	breaksOff
)

func run(ctx context.Context, o options) (Result, error) {
	if o.Logs == "" {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return Result{}, errs.Wrap(err, errs.Internal, "set --logs", "no directory for logs")
		}
		o.Logs = dir
	}
	w := &world{o: o, ledger: newLedger()}
	defer w.close()
	if err := w.start(); err != nil {
		return Result{}, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	w.ledger.calm = time.Now().Add(o.For + recovery)
	var book, callers conc.WaitGroup
	book.Go(w.ledger.run)
	calling, stop := context.WithCancel(ctx)
	for n := range o.Callers {
		callers.Go(func() { w.caller(calling, n) })
		callers.Go(func() { w.holder(calling, n) })
	}
	callers.Go(func() { w.keyHolder(calling) })
	w.inject(ctx)
	duty.Pause(ctx, time.Until(w.ledger.calm)+calmTime)
	stop()
	callers.Wait()
	ended := time.Now()
	w.ledger.entries.Close()
	book.Wait()
	w.ledger.ended = ended
	return Result{
		Seed: o.Seed, Faults: w.faults, Tried: w.ledger.tried, Served: w.ledger.served, Duties: len(w.ledger.duties),
		LateWrites: w.ledger.lateWrites, PerformedWrites: w.ledger.performedWrites, Broken: w.ledger.verdict(), Logs: o.Logs,
	}, nil
}

// close ends all fronts and stand-ins.
func (w *world) close() {
	for _, f := range w.fronts {
		if c := f.child.Load(); c != nil {
			c.end()
		}
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func (w *world) start() error {
	w.store = standin.NewPlatformStore()
	w.cloud.Observe = w.observeDuty
	w.storeAt = w.serve(w.store)
	w.closers = append(w.closers, w.store.Close)
	for i := range w.o.Servers {
		s := &server{id: fmt.Sprintf("i-%d", i), zone: zones[i%len(zones)]}
		s.born.Store(1)
		stand := standin.NewPlatformServer(s.id)
		stand.Script = w.script(s, stand)
		var err error
		if s.link, err = newProxy(standin.LoopbackAddress(serverPort+i), w.serve(stand)); err != nil {
			return err
		}
		w.closers = append(w.closers, s.link.close)
		w.servers = append(w.servers, s)
		w.list(s, false)
	}
	w.configure()
	for i := range w.o.Fronts {
		f, err := w.newFront(i)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
		if err := w.launch(f); err != nil {
			return err
		}
	}
	return nil
}

// serve runs a handler on a loopback port and returns its address.
func (w *world) serve(h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Start()
	w.closers = append(w.closers, func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// script runs a call at a server and tells the ledger before it answers.
func (w *world) script(s *server, stand *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
	return func(rw http.ResponseWriter, r *http.Request, body []byte) {
		id := standin.PlatformID(r.Header)
		if part, bad := badPartOf(standin.PlatformPrompt(r.Header)); bad {
			_, front, _ := strings.Cut(id, "@")
			w.ledger.note(entry{id: part.name, front: front, arrived: true})
			w.crash(s, part)
			stand.Break()
		}
		failing := s.failing.Load()
		fails := failing != sound && rand.IntN(3) == 0
		if fails && failing == rejects {
			stand.Reject(rw)
			return
		}
		if string(body) != "body of "+id {
			w.ledger.note(entry{id: id, broken: fmt.Sprintf("server got the body %q", body)})
		}
		w.ledger.note(entry{id: id, ran: s.id, zone: s.zone})
		if fails && failing == losesAnswers {
			stand.Break()
		}
		if !strings.HasPrefix(r.URL.Path, "/draft") && !strings.HasPrefix(r.URL.Path, "/verdict") {
			stand.Answer(rw, http.StatusOK, "served "+id)
			return
		}
		stand.BeginStream(rw)
		for n := standin.LastEvent(r) + 1; n <= events; n++ {
			if fails && n == events/2 {
				_ = stand.SendHalfEvent(rw, n) // the stream breaks off either way
				stand.Break()
			}
			if err := stand.SendEvent(rw, n, fmt.Sprintf("%s event %d", id, n)); err != nil {
				return
			}
			time.Sleep(eventPause)
		}
	}
}

func (w *world) list(s *server, draining bool) {
	s.draining.Store(draining)
	w.putServer(s, draining)
}

func (w *world) putServer(s *server, draining bool) {
	w.store.PutIncarnation(s.id, service, s.link.address(), s.zone, draining, int(s.born.Load()))
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	version := int(w.version.Add(1))
	w.ledger.note(entry{change: func(t *timeline, at time.Time) { t.configured(version, at) }})
	w.putConfig(version)
}

// putConfig writes a version of the configuration; all versions allow what the callers
// send.
func (w *world) putConfig(version int) {
	route := func(name, kind string, attempts int) standin.PlatformRoute {
		return standin.PlatformRoute{
			Name: name, Kind: kind, Attempts: attempts, Resumable: name == "verdict", Timeout: callTime, Aim: callTime / 3,
		}
	}
	scaled := standin.PlatformService{Name: service, MinServers: 1, MaxServers: w.o.Servers, Boot: time.Second}
	w.store.PutConfig(version, host, scaled, []standin.PlatformRoute{
		route("read", "safe", 2), route("log", "unsafe", 1), route("draft", "streaming", 1), route("verdict", "streaming", 2),
		route(fmt.Sprintf("new-%d", version), "safe", 1),
	}, []string{apiKey, keyOf(version)})
}

// restore replaces the store's content by a copy and writes again what the operator and
// the servers wrote, as the platform does. It repeats what has changed meanwhile.
func (w *world) restore(from standin.StoreCopy) {
	w.store.Restore(from)
	for version := int32(0); version != w.version.Load(); {
		version = w.version.Load()
		w.putConfig(int(version))
	}
	for _, s := range w.servers {
		draining := s.draining.Load()
		w.putServer(s, draining)
		if s.draining.Load() != draining {
			w.putServer(s, !draining)
		}
	}
	for i, zone := range zones {
		w.store.PutEvacuation(zone, w.evacuated[i].Load())
	}
}

// observeDuty notes a call of a duty.
func (w *world) observeDuty(c standin.DutyCall) {
	for _, f := range w.fronts {
		if f.name == c.Machine && c.Counts != "" {
			w.lastHolder.Store(f)
		}
	}
	w.ledger.note(entry{duty: &c})
}

// keyOf is the key that one version of the configuration allows beside apiKey.
func keyOf(version int) string { return fmt.Sprintf("key-v%d", version) }
