package agent

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/wire"
)

// fenceIgnoringEngine executes all orders without a check of the fence.
type fenceIgnoringEngine struct {
	Engine
	loads []core.Fence
}

func (e *fenceIgnoringEngine) Load(_ context.Context, fence core.Fence, _ string) error {
	e.loads = append(e.loads, fence)
	return nil
}

func (e *fenceIgnoringEngine) Info(context.Context) (engine.Info, error) { return engine.Info{}, nil }

// Guards against submitting an order of a former lease holder to an engine that does not
// check fences. A process sends such an order if it was paused while its lease expired. The
// agent must reject the order also after its own restart.
func TestExecutorRefusesOldFences(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	unavailable := errs.New(errs.Unavailable, "retry", "table is unavailable")
	cases := map[string]struct {
		leaseFence  core.Fence
		readErr     error
		orderFences []uint64
		wantLoads   []core.Fence
		wantStale   []bool
	}{
		"newer fences are accepted":       {1, nil, []uint64{1, 2, 2}, []core.Fence{1, 2, 2}, []bool{false, false, false}},
		"older fence after newer":         {1, nil, []uint64{3, 2}, []core.Fence{3}, []bool{false, true}},
		"restart reads the lease":         {5, nil, []uint64{4, 5}, []core.Fence{5}, []bool{true, false}},
		"no fence":                        {0, nil, []uint64{0}, nil, []bool{true}},
		"table unavailable after restart": {5, unavailable, []uint64{4}, nil, []bool{false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fake := &fenceIgnoringEngine{}
			executor := newOrderExecutor(Options{
				Engine: fake, Log: log,
				ReadFence: func(context.Context) (core.Fence, error) { return c.leaseFence, c.readErr },
			})
			for i, fence := range c.orderFences {
				reply := executor.execute(t.Context(), &wire.OrderRequest{Fence: fence, Order: &wire.OrderRequest_Load{Load: &wire.LoadOrder{Model: "gate", Version: "v2"}}})
				require.Equal(t, c.wantStale[i], reply.GetStale())
			}
			require.Equal(t, c.wantLoads, fake.loads)
		})
	}
}
