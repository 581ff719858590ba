package record_test

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
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	tableLatency = 10 * time.Millisecond
	runDuration  = 100 * time.Millisecond
)

// fakeTable is an in-memory table. It waits on the fake clock of the synctest bubble.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[stores.Key]stores.Row
	operations  map[string]bool
	unavailable bool
	// responsesToLose is the number of further transactions that take effect and
	// whose response is lost.
	responsesToLose int
	transactions    int
}

var errTableUnavailable = errs.New(errs.Unavailable, "retry later", "table is unavailable")

func (f *fakeTable) Get(_ context.Context, key stores.Key) (stores.Row, error) {
	time.Sleep(tableLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return stores.Row{}, errTableUnavailable
	}
	row := f.rows[key]
	row.Key = key
	return row, nil
}

func (f *fakeTable) List(context.Context, string, string, int) ([]stores.Row, error) {
	return nil, errTableUnavailable
}

func (f *fakeTable) Transact(_ context.Context, id string, writes []stores.Write) error {
	time.Sleep(tableLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return errTableUnavailable
	}
	if f.operations[id] {
		return nil
	}
	for _, w := range writes {
		if f.rows[w.Key].Version != w.ExpectedVersion {
			return errs.New(errs.Conflict, "read again", "row version differs")
		}
	}
	f.operations[id] = true
	f.transactions++
	for _, w := range writes {
		f.rows[w.Key] = stores.Row{Key: w.Key, Version: w.ExpectedVersion + 1, Value: w.Value}
	}
	if f.responsesToLose > 0 {
		f.responsesToLose--
		return errs.New(errs.Unknown, "retry later", "response was lost")
	}
	return nil
}

func (f *fakeTable) update(change func(*fakeTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// fakeObjects is an in-memory object store.
type fakeObjects struct{ bodies sync.Map }

func (f *fakeObjects) Put(_ context.Context, name string, body []byte) error {
	f.bodies.Store(name, body)
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	if body, ok := f.bodies.Load(name); ok {
		return body.([]byte), nil
	}
	return nil, errs.New(errs.NotFound, "check the name", "object %s does not exist", name)
}

// fakeService executes every call that it receives. Each run has a different response,
// so that the tests can distinguish a second run from a replay.
type fakeService struct {
	mu               sync.Mutex
	executedAttempts []core.AttemptID
	padding          int
	// unavailable is set while the service refuses connections and receives no call.
	unavailable atomic.Bool
}

func (f *fakeService) run(attempt core.AttemptID) claim.Response {
	f.mu.Lock()
	f.executedAttempts = append(f.executedAttempts, attempt)
	body := fmt.Sprintf("run %d%s", len(f.executedAttempts), strings.Repeat("x", f.padding))
	f.mu.Unlock()
	time.Sleep(runDuration)
	return claim.Response{Status: http.StatusCreated, ContentType: "text/plain", Body: []byte(body)}
}

// process is one incarnation of an agent. A dead process can send nothing to the table
// or the service, and its callers receive errProcessDead. A request to the table that
// was sent before the death still takes effect.
type process struct {
	cluster  *cluster
	group    *duty.Group
	executor *record.Executor
	dead     chan struct{}
	// transactionsFail is set while the transactions of the process fail. Reads of the
	// table still succeed.
	transactionsFail atomic.Bool
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

var errProcessDead = errs.New(errs.Unknown, "retry", "process is dead")

func (p *process) Do(ctx context.Context, c *record.Call) (claim.Response, error) {
	if p.isDead() {
		return claim.Response{}, errProcessDead
	}
	if p.cluster.service.unavailable.Load() {
		p.transactionsFail.Store(p.cluster.failTransactionsAfterRefusal)
		return claim.Response{}, errs.New(errs.Unavailable, "start the service", "service is unavailable")
	}
	response := p.cluster.service.run(c.Attempt)
	if p.isDead() || ctx.Err() != nil {
		return claim.Response{}, errProcessDead
	}
	return response, nil
}

func (p *process) Get(ctx context.Context, key stores.Key) (stores.Row, error) {
	if p.isDead() {
		return stores.Row{}, errProcessDead
	}
	return p.cluster.table.Get(ctx, key)
}

func (p *process) List(ctx context.Context, partition, after string, limit int) ([]stores.Row, error) {
	return p.cluster.table.List(ctx, partition, after, limit)
}

func (p *process) Transact(ctx context.Context, id string, writes []stores.Write) error {
	if p.isDead() {
		return errProcessDead
	}
	if p.transactionsFail.Load() {
		return errTableUnavailable
	}
	return p.cluster.table.Transact(ctx, id, writes)
}

// cluster consists of two upstreams of one service with their agents, a table, an
// object store and the service. Each request of a caller uses a new entry.
type cluster struct {
	t           *testing.T
	table       *fakeTable
	objects     *fakeObjects
	service     *fakeService
	view        *facts.View
	mu          sync.Mutex
	agents      map[core.UpstreamID]*process
	incarnation core.Incarnation
	// failTransactionsAfterRefusal makes the transactions of an agent fail after the
	// service refuses its call.
	failTransactionsAfterRefusal bool
	results                      []result
	requests                     int
	tasks                        sync.WaitGroup
}

// result is the response that a caller received.
type result struct {
	id           string // first segment of the IDs of the request's attempts
	name         string
	status       int
	errorType    string
	body         string
	replayed     bool
	entryCrashed bool // the entry crashed before it responded
}

func newCluster(t *testing.T) *cluster {
	b := &bundle.Bundle{
		Upstreams: []bundle.Upstream{
			{ID: "r1", Kind: bundle.KindService, Service: "records", FailureDomain: "fd1"},
			{ID: "r2", Kind: bundle.KindService, Service: "records", FailureDomain: "fd2"},
		},
		Services:   []bundle.Service{{ID: "records", NonRepeatable: []string{"POST /lots"}}},
		Workspaces: []bundle.Workspace{{ID: "w", Services: []core.ServiceID{"records"}, Callers: []bundle.Caller{{ID: "c", KeySHA256: sha256Hex(apiKey)}}}},
	}
	cl := &cluster{
		t:       t,
		table:   &fakeTable{rows: map[stores.Key]stores.Row{}, operations: map[string]bool{}},
		objects: &fakeObjects{}, service: &fakeService{},
		view:   &facts.View{Index: bundle.NewIndex(b)},
		agents: map[core.UpstreamID]*process{},
	}
	for _, u := range b.Upstreams {
		cl.startAgent(u.ID)
	}
	return cl
}

// startAgent starts a new process of an agent. The caller holds mu, except newCluster.
func (cl *cluster) startAgent(u core.UpstreamID) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cl.incarnation++
	p := &process{cluster: cl, group: duty.NewGroup(context.Background(), log), dead: make(chan struct{})}
	executor, err := record.NewExecutor(record.ExecutorOptions{
		Upstream: u, Incarnation: cl.incarnation, Service: p, Table: p, Objects: cl.objects, Log: log,
	})
	require.NoError(cl.t, err)
	executor.Start(p.group)
	p.executor = executor
	cl.agents[u] = p
}

func (cl *cluster) agent(u core.UpstreamID) *process {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.agents[u]
}

func (cl *cluster) restartAgent(u core.UpstreamID) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.agents[u]
	close(p.dead)
	p.group.Stop()
	cl.tasks.Go(func() { _ = p.group.Wait() })
	cl.startAgent(u)
}

// Call implements record.AgentClient. It calls the current process of the agent.
func (cl *cluster) Call(ctx context.Context, u *bundle.Upstream, req *wire.CallRequest) (*wire.CallReply, error) {
	p := cl.agent(u.ID)
	replies := make(chan *wire.CallReply, 1)
	cl.tasks.Go(func() { replies <- p.executor.Call(ctx, req) })
	select {
	case reply := <-replies:
		if p.isDead() {
			return nil, errProcessDead
		}
		return reply, nil
	case <-p.dead:
		return nil, errProcessDead
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// request sends one request through a new entry. The end of the context simulates a
// crash of that entry.
func (cl *cluster) request(ctx context.Context, name, method, target, key string) {
	cl.mu.Lock()
	cl.requests++
	id := fmt.Sprint(cl.requests)
	cl.mu.Unlock()
	attempts := 0
	handler, err := record.NewHandler(record.HandlerOptions{
		AgentClient: cl,
		View:        func() *facts.View { return cl.view },
		NewAttempt: func() core.AttemptID {
			attempts++
			return core.AttemptID(id + "/" + strconv.Itoa(attempts))
		},
	})
	require.NoError(cl.t, err)
	router := httprouter.New()
	handler.Register(router)
	r := httptest.NewRequestWithContext(ctx, method, target, strings.NewReader("lot 7"))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Idempotency-Key", key)
	response := httptest.NewRecorder()
	router.ServeHTTP(response, r)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.results = append(cl.results, result{
		id: id, name: name, status: response.Code, errorType: errorType(response.Body.String()), body: response.Body.String(),
		replayed: response.Header().Get("Idempotency-Replayed") == "true", entryCrashed: ctx.Err() != nil,
	})
}

// postLotAfter sends an at-most-once call after a delay. All of these
// calls have the same idempotency key. The returned function crashes the call's entry.
func (cl *cluster) postLotAfter(delay time.Duration, name string) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	cl.tasks.Go(func() {
		time.Sleep(delay)
		cl.request(ctx, name, http.MethodPost, "/services/records/lots", "key-1")
	})
	return cancel
}

func (cl *cluster) stop() {
	for _, p := range cl.agents {
		p.group.Stop()
		require.NoError(cl.t, p.group.Wait())
	}
}

// checkResults compares the responses to callers with the attempts that the service
// executed.
func (cl *cluster) checkResults() {
	require.LessOrEqual(cl.t, len(cl.service.executedAttempts), 1, "the call must run at most once: %v", cl.service.executedAttempts)
	finishedBody := ""
	allNotRun := true
	for _, r := range cl.results {
		if r.entryCrashed {
			allNotRun = false
			continue
		}
		allNotRun = allNotRun && r.errorType == "not_run"
		if r.errorType == "not_run" {
			ran := slices.ContainsFunc(cl.service.executedAttempts, func(a core.AttemptID) bool {
				return strings.HasPrefix(string(a), r.id+"/")
			})
			require.False(cl.t, ran, "%s received not_run although it ran: %v", r.name, cl.service.executedAttempts)
		}
		if r.status != http.StatusCreated {
			continue
		}
		if finishedBody != "" {
			require.Equal(cl.t, finishedBody, r.body, "a retry must receive the response of the run")
		}
		finishedBody = r.body
		// A retry may receive its response before the first caller, which waits until
		// the result is in the table.
		ran := strings.HasPrefix(string(cl.service.executedAttempts[0]), r.id+"/")
		require.Equal(cl.t, !ran, r.replayed, "every response except that of the attempt that ran must be marked as a replay")
	}
	if allNotRun {
		require.Empty(cl.t, cl.service.executedAttempts, "every caller received not_run although the call ran")
	}
}

// outcomes returns the name and the outcome of each result, in the sequence of the
// responses.
func (cl *cluster) outcomes() []string {
	var outcomes []string
	for _, r := range cl.results {
		outcome := r.errorType
		if r.status == http.StatusCreated {
			outcome = "finished"
		}
		if r.entryCrashed {
			outcome = "entry_crashed"
		}
		outcomes = append(outcomes, r.name+" "+outcome)
	}
	return outcomes
}
