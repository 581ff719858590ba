package servicecall_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/servicecall"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	tableLatency = 10 * time.Millisecond
	runTime      = 100 * time.Millisecond
)

// fakeTable is a table in memory. Its clock is that of the test's bubble.
type fakeTable struct {
	mu         sync.Mutex
	rows       map[stores.Key]stores.Row
	operations map[string]bool
	down       bool
	// loseAnswers is how many further transactions take effect unanswered.
	loseAnswers  int
	transactions int
}

var errTableDown = errs.New(errs.Unavailable, "retry later", "table is down")

func (f *fakeTable) Get(_ context.Context, key stores.Key) (stores.Row, error) {
	time.Sleep(tableLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return stores.Row{}, errTableDown
	}
	row := f.rows[key]
	row.Key = key
	return row, nil
}

func (f *fakeTable) List(context.Context, string, string, int) ([]stores.Row, error) {
	return nil, errTableDown
}

func (f *fakeTable) Transact(_ context.Context, id string, writes []stores.Write) error {
	time.Sleep(tableLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errTableDown
	}
	if f.operations[id] {
		return nil
	}
	for _, w := range writes {
		if f.rows[w.Key].Version != w.IfVersion {
			return errs.New(errs.Conflict, "read again", "row has changed")
		}
	}
	f.operations[id] = true
	f.transactions++
	for _, w := range writes {
		f.rows[w.Key] = stores.Row{Key: w.Key, Version: w.IfVersion + 1, Value: w.Value}
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return errs.New(errs.Unknown, "retry later", "answer was lost")
	}
	return nil
}

func (f *fakeTable) set(change func(*fakeTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// fakeObjects is an object store in memory.
type fakeObjects struct{ bodies sync.Map }

func (f *fakeObjects) Put(_ context.Context, name string, body []byte) error {
	f.bodies.Store(name, body)
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	if body, ok := f.bodies.Load(name); ok {
		return body.([]byte), nil
	}
	return nil, errs.New(errs.NotFound, "check the name", "object %s", name)
}

// fakeService carries out every call that reaches it and answers each
// differently, so that a second run cannot pass for a replay.
type fakeService struct {
	mu      sync.Mutex
	ledger  []core.AttemptID
	padding int
	// down refuses connections, so that no call is handed over.
	down atomic.Bool
}

func (f *fakeService) run(attempt core.AttemptID) claim.Response {
	f.mu.Lock()
	f.ledger = append(f.ledger, attempt)
	body := fmt.Sprintf("run %d%s", len(f.ledger), strings.Repeat("x", f.padding))
	f.mu.Unlock()
	time.Sleep(runTime)
	return claim.Response{Status: http.StatusCreated, ContentType: "text/plain", Body: []byte(body)}
}

// process is one incarnation of an agent. A dead process reaches neither the
// table nor the service, and the answers to what it sent are lost.
type process struct {
	world    *world
	group    *duty.Group
	executor *servicecall.Executor
	dead     chan struct{}
	// cut is set while the process cannot reach the table.
	cut atomic.Bool
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

var errDead = errs.New(errs.Unknown, "ask again", "process is dead")

func (p *process) Do(ctx context.Context, c *servicecall.Call) (claim.Response, error) {
	if p.isDead() {
		return claim.Response{}, errDead
	}
	if p.world.service.down.Load() {
		p.cut.Store(p.world.cutAfterRefusal)
		return claim.Response{}, errs.New(errs.Unavailable, "start the service", "service is down")
	}
	answer := p.world.service.run(c.Attempt)
	if p.isDead() || ctx.Err() != nil {
		return claim.Response{}, errDead
	}
	return answer, nil
}

func (p *process) Get(ctx context.Context, key stores.Key) (stores.Row, error) {
	if p.isDead() {
		return stores.Row{}, errDead
	}
	return p.world.table.Get(ctx, key)
}

func (p *process) List(ctx context.Context, partition, after string, limit int) ([]stores.Row, error) {
	return p.world.table.List(ctx, partition, after, limit)
}

func (p *process) Transact(ctx context.Context, id string, writes []stores.Write) error {
	if p.isDead() {
		return errDead
	}
	if p.cut.Load() {
		return errTableDown
	}
	return p.world.table.Transact(ctx, id, writes)
}

// world is two upstreams of one service with their agents.
type world struct {
	t           *testing.T
	table       *fakeTable
	objects     *fakeObjects
	service     *fakeService
	view        *facts.View
	mu          sync.Mutex
	agents      map[core.UpstreamID]*process
	incarnation core.Incarnation
	// cutAfterRefusal cuts an agent off from the table when its service refuses
	// a call.
	cutAfterRefusal bool
	results         []result
	requests        int
	callers         sync.WaitGroup
}

// result is what a caller was told.
type result struct {
	id       string // prefix of the request's attempts
	name     string
	status   int
	kind     string
	body     string
	replayed bool
	cut      bool // the entry died before it answered
}

func newWorld(t *testing.T) *world {
	b := &bundle.Bundle{
		Upstreams: []bundle.Upstream{
			{ID: "r1", Kind: bundle.KindService, Service: "records", FailureDomain: "fd1"},
			{ID: "r2", Kind: bundle.KindService, Service: "records", FailureDomain: "fd2"},
		},
		Services:   []bundle.Service{{ID: "records", NonRepeatable: []string{"POST /lots"}}},
		Workspaces: []bundle.Workspace{{ID: "w", Services: []core.ServiceID{"records"}, Callers: []bundle.Caller{{ID: "c", KeySHA256: sha256Hex(apiKey)}}}},
	}
	w := &world{
		t:       t,
		table:   &fakeTable{rows: map[stores.Key]stores.Row{}, operations: map[string]bool{}},
		objects: &fakeObjects{}, service: &fakeService{},
		view:   &facts.View{Index: bundle.NewIndex(b)},
		agents: map[core.UpstreamID]*process{},
	}
	for _, u := range b.Upstreams {
		w.startLocked(u.ID)
	}
	return w
}

func (w *world) startLocked(u core.UpstreamID) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.incarnation++
	p := &process{world: w, group: duty.NewGroup(context.Background(), log), dead: make(chan struct{})}
	executor, err := servicecall.NewExecutor(servicecall.ExecutorOptions{
		Upstream: u, Incarnation: w.incarnation, Service: p, Table: p, Objects: w.objects, Log: log,
	})
	require.NoError(w.t, err)
	executor.Start(p.group)
	p.executor = executor
	w.agents[u] = p
}

func (w *world) agent(u core.UpstreamID) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[u]
}

func (w *world) restart(u core.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.agents[u]
	close(p.dead)
	p.group.Stop()
	w.callers.Go(func() { _ = p.group.Wait() })
	w.startLocked(u)
}

// Call implements servicecall.Sender: it reaches the current process of an agent.
func (w *world) Call(ctx context.Context, u *bundle.Upstream, req *wire.CallRequest) (*wire.CallReply, error) {
	p := w.agent(u.ID)
	replies := make(chan *wire.CallReply, 1)
	w.callers.Go(func() { replies <- p.executor.Call(ctx, req) })
	select {
	case reply := <-replies:
		if p.isDead() {
			return nil, errDead
		}
		return reply, nil
	case <-p.dead:
		return nil, errDead
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// request sends one request through an entry of its own; ending the context
// is the entry's death.
func (w *world) request(ctx context.Context, name, method, target, key string) {
	w.mu.Lock()
	w.requests++
	id := fmt.Sprint(w.requests)
	w.mu.Unlock()
	attempts := 0
	handler, err := servicecall.NewHandler(servicecall.HandlerOptions{
		Sender: w,
		View:   func() *facts.View { return w.view },
		NewAttempt: func() core.AttemptID {
			attempts++
			return core.AttemptID(id + "/" + strconv.Itoa(attempts))
		},
	})
	require.NoError(w.t, err)
	router := httprouter.New()
	handler.Register(router)
	r := httptest.NewRequestWithContext(ctx, method, target, strings.NewReader("lot 7"))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Idempotency-Key", key)
	answer := httptest.NewRecorder()
	router.ServeHTTP(answer, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, result{
		id: id, name: name, status: answer.Code, kind: errorType(answer.Body.String()), body: answer.Body.String(),
		replayed: answer.Header().Get("Idempotency-Replayed") == "true", cut: ctx.Err() != nil,
	})
}

// book sends a call that may run at most once at a point in time.
func (w *world) book(at time.Duration, name string) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	w.callers.Go(func() {
		time.Sleep(at)
		w.request(ctx, name, http.MethodPost, "/services/records/lots", "key-1")
	})
	return cancel
}

func (w *world) stop() {
	for _, p := range w.agents {
		p.group.Stop()
		require.NoError(w.t, p.group.Wait())
	}
}

// check holds the results against the ledger.
func (w *world) check() {
	require.LessOrEqual(w.t, len(w.service.ledger), 1, "runs at most once: %v", w.service.ledger)
	first := ""
	allNotRun := true
	for _, r := range w.results {
		if r.cut {
			allNotRun = false
			continue
		}
		allNotRun = allNotRun && r.kind == "not_run"
		if r.kind == "not_run" {
			ran := slices.ContainsFunc(w.service.ledger, func(a core.AttemptID) bool {
				return strings.HasPrefix(string(a), r.id+"/")
			})
			require.False(w.t, ran, "%s was told not run: %v", r.name, w.service.ledger)
		}
		if r.status != http.StatusCreated {
			continue
		}
		if first != "" {
			require.Equal(w.t, first, r.body, "a retry gets the first answer")
		}
		first = r.body
		// A retry may be answered before the first caller, who waits until the
		// result is in the table.
		own := strings.HasPrefix(string(w.service.ledger[0]), r.id+"/")
		require.Equal(w.t, !own, r.replayed, "only the attempt that ran is no replay")
	}
	if allNotRun {
		require.Empty(w.t, w.service.ledger, "every answer was not run")
	}
}

func (w *world) kinds() []string {
	var kinds []string
	for _, r := range w.results {
		kind := r.kind
		if r.status == http.StatusCreated {
			kind = "finished"
		}
		if r.cut {
			kind = "cut"
		}
		kinds = append(kinds, r.name+" "+kind)
	}
	return kinds
}
