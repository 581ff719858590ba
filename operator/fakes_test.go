package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/entry"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

// loadTime is the duration of one weight load at a fake agent.
const loadTime = 667 * time.Millisecond

// fixture contains the facts, a fake of the platform's table, fake agents and the
// judges for one model. It implements stores.Table, EngineStates and OrderSender.
type fixture struct {
	mu    sync.Mutex
	group *duty.Group
	log   *logrus.Logger
	store *facts.Store
	view  *facts.View
	views []*ring.Ring[*facts.View]
	// rows is the content of the table. operations contains the ids of the permissions
	// that took effect.
	rows       map[stores.Key]stores.Row
	operations map[string]bool
	// tableUnavailable makes calls of the table and permissions fail.
	tableUnavailable bool
	agents           map[core.UpstreamID]*fakeAgent
	judges           []*Judge
	// loading is the number of loads in progress, maxLoading the maximum so far.
	loading, maxLoading int
	// permittedStages are the names of the stages that were put in force.
	permittedStages []string
}

// fakeAgent is the agent of one engine.
type fakeAgent struct {
	fenceChecker lease.FenceChecker
	loadedModels []string
	unavailable  bool
	// repliesToLose is the number of next orders that are executed without a reply.
	repliesToLose int
	orderCount    int
	// staleOrders is the number of orders that were refused because of a stale fence.
	staleOrders int
}

func newFixture(engines int, deadline time.Duration) *fixture {
	f := &fixture{
		log: logrus.New(), store: facts.NewStore(), agents: make(map[core.UpstreamID]*fakeAgent),
		rows: make(map[stores.Key]stores.Row), operations: make(map[string]bool),
	}
	f.log.SetOutput(io.Discard)
	f.group = duty.NewGroup(context.Background(), f.log)
	b := &bundle.Bundle{Version: "b1", Models: []bundle.Model{{
		ID: "gate", Versions: []core.WeightVersion{"v1", "v2"}, Stable: "v1",
		Rollout: &bundle.Rollout{To: "v2", CanaryShare: 0.25, CanaryUpstreams: 2, Deadline: time.Now().Add(deadline)},
	}}}
	for i := range engines {
		u := bundle.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("e%02d", i)), Kind: bundle.KindEngine, Agent: fmt.Sprintf("127.0.0.1:%d", 7000+i),
			Model: "gate", FailureDomain: core.FailureDomain(fmt.Sprintf("d%d", i%3)), MaxWindow: 8,
		}
		b.Upstreams = append(b.Upstreams, u)
		f.agents[u.ID] = &fakeAgent{loadedModels: []string{"gate@v1"}}
	}
	f.merge(facts.Update{Head: &facts.Head{Epoch: 1, BundleDigest: "b1"}, Bundle: &facts.Bundle{Digest: "b1", Index: bundle.NewIndex(b)}})
	return f
}

func (f *fixture) merge(u facts.Update) {
	f.store.Merge(u)
	f.view = f.store.Snapshot().View
	for _, r := range f.views {
		r.Push(f.view)
	}
}

// withLock calls change with the lock held.
func (f *fixture) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fixture) currentView() *facts.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fixture) rolloutPhase() rollout.Phase {
	v := f.currentView()
	return rollout.PhaseOf(v, v.Index.Models["gate"])
}

func (f *fixture) subscribe() *ring.Ring[*facts.View] {
	r := ring.New[*facts.View](1)
	f.withLock(func() { f.views = append(f.views, r) })
	return r
}

func (f *fixture) tableError() error {
	if f.tableUnavailable {
		return errs.New(errs.Unavailable, "retry", "fake table is unavailable")
	}
	return nil
}

// Get implements stores.Table, as do List and Transact.
func (f *fixture) Get(_ context.Context, key stores.Key) (stores.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key], f.tableError()
}

func (f *fixture) List(_ context.Context, partition, afterSort string, limit int) ([]stores.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []stores.Row
	for k, r := range f.rows {
		if k.Partition == partition && k.Sort > afterSort {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b stores.Row) int { return cmp.Compare(a.Key.Sort, b.Key.Sort) })
	return rows[:min(limit, len(rows))], f.tableError()
}

func (f *fixture) Transact(_ context.Context, _ string, writes []stores.Write) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range writes {
		if f.rows[write.Key].Version != write.ExpectedVersion {
			return errs.New(errs.Conflict, "read the row again", "row has changed")
		}
		f.rows[write.Key] = stores.Row{Key: write.Key, Version: write.ExpectedVersion + 1, Value: write.Value}
	}
	return f.tableError()
}

// fakeControl implements Control for one process.
type fakeControl struct {
	*fixture
	fence core.Fence
	// frozenView is the view of a process that is paused or has not received newer
	// facts. It is nil if the process has the newest view.
	frozenView   *facts.View
	leaseExpired bool
}

func (c *fakeControl) View() *facts.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozenView != nil {
		return c.frozenView
	}
	return c.view
}

func (c *fakeControl) HeldFence() (core.Fence, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fence, !c.leaseExpired
}

func (c *fakeControl) Permit(_ context.Context, id string, change func(facts.Head) (facts.Head, error), _ control.AuditEntry) (facts.Head, error) {
	head := c.currentView().Head
	time.Sleep(5 * time.Millisecond)
	next, err := change(head.Next())
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.tableError() != nil:
		return head, c.tableError()
	case c.operations[id]:
		return c.view.Head, nil
	case err != nil:
		return head, err
	case c.view.Head.Epoch != head.Epoch:
		return head, errs.New(errs.Conflict, "read the head again", "epoch is %d", c.view.Head.Epoch)
	}
	c.operations[id] = true
	c.permittedStages = append(c.permittedStages, strings.Split(id, "/")[2])
	c.merge(facts.Update{Head: &next})
	return next, nil
}

func (c *fakeControl) Restrict(_ context.Context, r facts.Restriction) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Stamp = c.view.Head.Epoch
	c.merge(facts.Update{Restrictions: []facts.Restriction{r}})
	return nil
}

// State implements EngineStates. It returns what the agent of an engine reports.
func (f *fixture) State(id core.UpstreamID) (EngineState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.agents[id]
	if a.unavailable {
		return EngineState{}, false
	}
	return EngineState{LoadedModels: slices.Clone(a.loadedModels), RunCount: 6, ReceivedAt: time.Now()}, true
}

// SendOrder implements OrderSender. It executes orders as agents do: a started load
// continues when its caller disconnects.
func (f *fixture) SendOrder(ctx context.Context, _ string, req *wire.OrderRequest) (*wire.OrderReply, error) {
	a := f.agents[core.UpstreamID(req.GetUpstream())]
	f.mu.Lock()
	a.orderCount++
	if a.unavailable {
		f.mu.Unlock()
		return nil, errs.New(errs.Unknown, "retry", "fake agent is not running")
	}
	if !a.fenceChecker.Accept(core.Fence(req.GetFence())) {
		a.staleOrders++
		reply := &wire.OrderReply{Stale: true, Fence: uint64(a.fenceChecker.Highest())}
		f.mu.Unlock()
		return reply, nil
	}
	loseReply := a.repliesToLose > 0
	a.repliesToLose--
	f.mu.Unlock()
	if loseReply { // the connection fails at once, but the load continues
		f.group.Go("load", func(context.Context) error { f.loadWeights(a, req); return nil })
		return nil, errs.New(errs.Unknown, "retry", "reply is lost")
	}
	f.loadWeights(a, req)
	return &wire.OrderReply{Done: true}, ctx.Err()
}

func (f *fixture) loadWeights(a *fakeAgent, req *wire.OrderRequest) {
	f.withLock(func() {
		f.loading++
		f.maxLoading = max(f.maxLoading, f.loading)
	})
	time.Sleep(loadTime)
	f.withLock(func() {
		f.loading--
		if name := req.GetLoad().GetModel() + "@" + req.GetLoad().GetVersion(); !slices.Contains(a.loadedModels, name) {
			a.loadedModels = append(a.loadedModels, name)
		}
	})
}

// startDriver runs a driver for one lease term. It returns a function that ends the
// term.
func (f *fixture) startDriver(t *testing.T, c *fakeControl) (endTerm func()) {
	counts, err := NewSampleCounts(SampleCountsOptions{Node: "driver", Table: f, MaxCountedSamples: rollout.DefaultTiming().EarlyPromotionSamples, Log: f.log})
	require.NoError(t, err)
	d, err := NewDriver(DriverOptions{
		Node: "driver", Control: c, OrderSender: f, EngineStates: f, SampleCounter: counts, Views: f.subscribe(), Log: f.log,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(f.group.Context())
	f.group.Go("lease", func(context.Context) error { return d.Run(ctx, c.fence) })
	return func() {
		f.withLock(func() { c.leaseExpired = true })
		cancel()
	}
}

// promptBehavior returns the result of prompt n on the new version and the factor by
// which its first token is delayed. elapsed is the time since the first prompt on the
// new version.
type promptBehavior func(elapsed time.Duration, workspace core.WorkspaceID, n int) (result rollout.Result, delayFactor float64)

// startEntries starts two entries, each with a judge and a traffic of 50 prompts per
// second from two workspaces. The stage of the rollout determines the share of the new
// version.
func (f *fixture) startEntries(t *testing.T, behavior promptBehavior) {
	for _, node := range []core.NodeID{"entry-1", "entry-2"} {
		counts, err := NewSampleCounts(SampleCountsOptions{Node: node, Table: f, MaxCountedSamples: rollout.DefaultTiming().EarlyPromotionSamples, Log: f.log})
		require.NoError(t, err)
		j, err := NewJudge(JudgeOptions{
			Control: &fakeControl{fixture: f}, Views: f.subscribe(), EntryCount: func() int { return 2 }, SampleReporter: counts, Log: f.log,
		})
		require.NoError(t, err)
		f.judges = append(f.judges, j)
		f.group.Go("counts", counts.Run)
		f.group.Go("judge", j.Run)
		f.group.Go("traffic", func(ctx context.Context) error { return f.sendTraffic(ctx, j, behavior) })
	}
}

func (f *fixture) sendTraffic(ctx context.Context, j *Judge, behavior promptBehavior) error {
	var startedAt time.Time
	for n := 0; duty.Pause(ctx, 20*time.Millisecond); n++ {
		v := f.currentView()
		state := v.Head.Rollouts["gate"]
		s := entry.Sample{
			Model: "gate", Version: "v1", Workspace: core.WorkspaceID(fmt.Sprintf("w%d", n%2)), FinishedAt: time.Now(),
			EngineTimeToFirstToken: time.Duration(100+n%7) * time.Millisecond, TimePerToken: 20 * time.Millisecond,
		}
		isNew := state.Complete() || (state.Stage >= facts.StageCanary && n%5 < 1+int(4*state.Share))
		if isNew && v.VersionAllowed("gate", "v2") {
			if startedAt.IsZero() {
				startedAt = time.Now()
			}
			result, delayFactor := behavior(time.Since(startedAt), s.Workspace, n)
			isSample, failed := rollout.Classify(result)
			if !isSample {
				continue
			}
			s.Version, s.Failed = "v2", failed
			s.EngineTimeToFirstToken = time.Duration(delayFactor * float64(s.EngineTimeToFirstToken))
		}
		j.Observe(s)
	}
	return nil
}

// advanceTime waits for a duration of the bubble's clock and until all duties are
// blocked.
func (f *fixture) advanceTime(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fixture) stop(t *testing.T) {
	f.group.Stop()
	require.NoError(t, f.group.Wait())
}
