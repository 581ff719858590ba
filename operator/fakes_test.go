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

const loadTime = 667 * time.Millisecond

// world is the facts, the table, the agents and the traffic of one model.
type world struct {
	mu    sync.Mutex
	group *duty.Group
	log   *logrus.Logger
	store *facts.Store
	view  *facts.View
	views []*ring.Ring[*facts.View]
	// rows and operations are the table.
	rows       map[stores.Key]stores.Row
	operations map[string]bool
	down       bool
	agents     map[core.UpstreamID]*agentFake
	judges     []*Judge
	// loading and most count the loads under way.
	loading, most int
	stages        []string
}

type agentFake struct {
	gate        lease.FenceChecker
	loaded      []string
	dead        bool
	loseAnswers int
	orders      int
	stale       int
}

func newWorld(engines int, deadline time.Duration) *world {
	w := &world{
		log: logrus.New(), store: facts.NewStore(), agents: make(map[core.UpstreamID]*agentFake),
		rows: make(map[stores.Key]stores.Row), operations: make(map[string]bool),
	}
	w.log.SetOutput(io.Discard)
	w.group = duty.NewGroup(context.Background(), w.log)
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
		w.agents[u.ID] = &agentFake{loaded: []string{"gate@v1"}}
	}
	w.merge(facts.Update{Head: &facts.Head{Epoch: 1, BundleDigest: "b1"}, Bundle: &facts.Bundle{Digest: "b1", Index: bundle.NewIndex(b)}})
	return w
}

func (w *world) merge(u facts.Update) {
	w.store.Merge(u)
	w.view = w.store.Snapshot().View
	for _, r := range w.views {
		r.Push(w.view)
	}
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) current() *facts.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *world) phase() rollout.Phase {
	v := w.current()
	return rollout.PhaseOf(v, v.Index.Models["gate"])
}

func (w *world) subscribe() *ring.Ring[*facts.View] {
	r := ring.New[*facts.View](1)
	w.set(func() { w.views = append(w.views, r) })
	return r
}

func (w *world) unavailable() error {
	if w.down {
		return errs.New(errs.Unavailable, "retry", "fake is down")
	}
	return nil
}

// Get, List and Transact are the table.
func (w *world) Get(_ context.Context, key stores.Key) (stores.Row, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rows[key], w.unavailable()
}

func (w *world) List(_ context.Context, partition, after string, limit int) ([]stores.Row, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []stores.Row
	for k, r := range w.rows {
		if k.Partition == partition && k.Sort > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b stores.Row) int { return cmp.Compare(a.Key.Sort, b.Key.Sort) })
	return rows[:min(limit, len(rows))], w.unavailable()
}

func (w *world) Transact(_ context.Context, _ string, writes []stores.Write) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, write := range writes {
		if w.rows[write.Key].Version != write.ExpectedVersion {
			return errs.New(errs.Conflict, "read again", "row changed")
		}
		w.rows[write.Key] = stores.Row{Key: write.Key, Version: write.ExpectedVersion + 1, Value: write.Value}
	}
	return w.unavailable()
}

// holder is the control plane of one process.
type holder struct {
	*world
	fence core.Fence
	// frozen is the view of a process that is paused or behind.
	frozen *facts.View
	ended  bool
}

func (h *holder) View() *facts.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen != nil {
		return h.frozen
	}
	return h.view
}

func (h *holder) HeldFence() (core.Fence, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, !h.ended
}

func (h *holder) Permit(_ context.Context, id string, change func(facts.Head) (facts.Head, error), _ control.AuditEntry) (facts.Head, error) {
	head := h.current().Head
	time.Sleep(5 * time.Millisecond)
	next, err := change(head.Next())
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.unavailable() != nil:
		return head, h.unavailable()
	case h.operations[id]:
		return h.view.Head, nil
	case err != nil:
		return head, err
	case h.view.Head.Epoch != head.Epoch:
		return head, errs.New(errs.Conflict, "look again", "epoch is %d", h.view.Head.Epoch)
	}
	h.operations[id] = true
	h.stages = append(h.stages, strings.Split(id, "/")[2])
	h.merge(facts.Update{Head: &next})
	return next, nil
}

func (h *holder) Restrict(_ context.Context, r facts.Restriction) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Stamp = h.view.Head.Epoch
	h.merge(facts.Update{Restrictions: []facts.Restriction{r}})
	return nil
}

// State returns what the agent of an engine reports.
func (w *world) State(id core.UpstreamID) (EngineState, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.agents[id]
	if a.dead {
		return EngineState{}, false
	}
	return EngineState{LoadedModels: slices.Clone(a.loaded), RunCount: 6, ReceivedAt: time.Now()}, true
}

// SendOrder is the agents' orders duty. A load that has begun goes on when its
// caller leaves.
func (w *world) SendOrder(ctx context.Context, _ string, req *wire.OrderRequest) (*wire.OrderReply, error) {
	a := w.agents[core.UpstreamID(req.GetUpstream())]
	w.mu.Lock()
	a.orders++
	if a.dead {
		w.mu.Unlock()
		return nil, errs.New(errs.Unknown, "retry", "fake is dead")
	}
	if !a.gate.Accept(core.Fence(req.GetFence())) {
		a.stale++
		reply := &wire.OrderReply{Stale: true, Fence: uint64(a.gate.Highest())}
		w.mu.Unlock()
		return reply, nil
	}
	lost := a.loseAnswers > 0
	a.loseAnswers--
	w.mu.Unlock()
	if lost { // the connection breaks at once, the load goes on
		w.group.Go("load", func(context.Context) error { w.loadWeights(a, req); return nil })
		return nil, errs.New(errs.Unknown, "retry", "answer is lost")
	}
	w.loadWeights(a, req)
	return &wire.OrderReply{Done: true}, ctx.Err()
}

func (w *world) loadWeights(a *agentFake, req *wire.OrderRequest) {
	w.set(func() {
		w.loading++
		w.most = max(w.most, w.loading)
	})
	time.Sleep(loadTime)
	w.set(func() {
		w.loading--
		if name := req.GetLoad().GetModel() + "@" + req.GetLoad().GetVersion(); !slices.Contains(a.loaded, name) {
			a.loaded = append(a.loaded, name)
		}
	})
}

// drive runs a driver for one term and returns a function that ends it.
func (w *world) drive(t *testing.T, h *holder) (end func()) {
	counts, err := NewSampleCounts(SampleCountsOptions{Node: "driver", Table: w, RequiredSamples: rollout.DefaultTiming().EarlyPromotionSamples, Log: w.log})
	require.NoError(t, err)
	d, err := NewDriver(DriverOptions{
		Node: "driver", Control: h, OrderSender: w, EngineStates: w, SampleCounter: counts, Views: w.subscribe(), Log: w.log,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(w.group.Context())
	w.group.Go("lease", func(context.Context) error { return d.Run(ctx, h.fence) })
	return func() {
		w.set(func() { h.ended = true })
		cancel()
	}
}

// behaviour says how one prompt on the new version ends.
type behaviour func(since time.Duration, w core.WorkspaceID, n int) (end rollout.Result, slower float64)

// serve starts two entries with a judge each and traffic of 50 prompts a second
// on two workspaces at each. The new version gets traffic by its stage.
func (w *world) serve(t *testing.T, act behaviour) {
	for _, node := range []core.NodeID{"entry-1", "entry-2"} {
		counts, err := NewSampleCounts(SampleCountsOptions{Node: node, Table: w, RequiredSamples: rollout.DefaultTiming().EarlyPromotionSamples, Log: w.log})
		require.NoError(t, err)
		j, err := NewJudge(JudgeOptions{
			Control: &holder{world: w}, Views: w.subscribe(), EntryCount: func() int { return 2 }, SampleReporter: counts, Log: w.log,
		})
		require.NoError(t, err)
		w.judges = append(w.judges, j)
		w.group.Go("counts", counts.Run)
		w.group.Go("judge", j.Run)
		w.group.Go("traffic", func(ctx context.Context) error { return w.send(ctx, j, act) })
	}
}

func (w *world) send(ctx context.Context, j *Judge, act behaviour) error {
	var began time.Time
	for n := 0; duty.Pause(ctx, 20*time.Millisecond); n++ {
		v := w.current()
		stage := v.Head.Rollouts["gate"]
		s := entry.Sample{
			Model: "gate", Version: "v1", Workspace: core.WorkspaceID(fmt.Sprintf("w%d", n%2)), FinishedAt: time.Now(),
			TimeToFirstToken: time.Duration(100+n%7) * time.Millisecond, TimePerToken: 20 * time.Millisecond,
		}
		isNew := stage.Complete() || (stage.Stage >= facts.StageCanary && n%5 < 1+int(4*stage.Share))
		if isNew && v.VersionAllowed("gate", "v2") {
			if began.IsZero() {
				began = time.Now()
			}
			end, slower := act(time.Since(began), s.Workspace, n)
			counts, failed := rollout.Classify(end)
			if !counts {
				continue
			}
			s.Version, s.Failed = "v2", failed
			s.TimeToFirstToken = time.Duration(slower * float64(s.TimeToFirstToken))
		}
		j.Observe(s)
	}
	return nil
}

// run lets the time pass, then ends all duties.
func (w *world) run(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (w *world) stop(t *testing.T) {
	w.group.Stop()
	require.NoError(t, w.group.Wait())
}
