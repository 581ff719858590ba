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

// carelessEngine carries out every order, whatever its fence.
type carelessEngine struct {
	Engine
	loads []core.Fence
}

func (e *carelessEngine) Load(_ context.Context, fence core.Fence, _ string) error {
	e.loads = append(e.loads, fence)
	return nil
}

func (e *carelessEngine) Info(context.Context) (engine.Info, error) { return engine.Info{}, nil }

// Guards against an order of a paused lease holder that reaches an engine which
// ignores fences, also after the agent has restarted.
func TestOrdersRefuseOldFences(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	away := errs.New(errs.Unavailable, "retry", "table is away")
	cases := map[string]struct {
		current core.Fence
		read    error
		orders  []uint64
		want    []core.Fence
		stale   []bool
	}{
		"newer fences pass":        {1, nil, []uint64{1, 2, 2}, []core.Fence{1, 2, 2}, []bool{false, false, false}},
		"older fence after newer":  {1, nil, []uint64{3, 2}, []core.Fence{3}, []bool{false, true}},
		"restart knows the lease":  {5, nil, []uint64{4, 5}, []core.Fence{5}, []bool{true, false}},
		"no fence":                 {0, nil, []uint64{0}, nil, []bool{true}},
		"table away after restart": {5, away, []uint64{4}, nil, []bool{false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			careless := &carelessEngine{}
			d := newOrders(Options{
				Engine: careless, Log: log,
				ReadFence: func(context.Context) (core.Fence, error) { return c.current, c.read },
			})
			for i, fence := range c.orders {
				reply := d.execute(t.Context(), &wire.OrderRequest{Fence: fence, Order: &wire.OrderRequest_Load{Load: &wire.LoadOrder{Model: "gate", Version: "v2"}}})
				require.Equal(t, c.stale[i], reply.GetStale())
			}
			require.Equal(t, c.want, careless.loads)
		})
	}
}
