package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	orderRingCapacity = 4 // orders
	orderTimeout      = 30 * time.Second
)

// order is one administrative request to the engine.
type order struct {
	req   *wire.OrderRequest
	reply *ring.Ring[*wire.OrderReply]
}

// orderExecutor is the duty that owns the highest accepted fence and submits orders to the
// engine one at a time. It protects engines that do not check fencing tokens.
type orderExecutor struct {
	opts           Options
	queue          *ring.Ring[order]
	fenceChecker   lease.FenceChecker
	leaseFenceRead bool
}

func newOrderExecutor(o Options) *orderExecutor {
	return &orderExecutor{opts: o, queue: ring.New[order](orderRingCapacity)}
}

func (d *orderExecutor) run(ctx context.Context) error {
	for {
		o, err := d.queue.Receive(ctx)
		if err != nil {
			return err
		}
		o.reply.Offer(d.execute(ctx, o.req))
	}
}

// execute checks the fence and submits the order to the engine. For the first order after
// a restart, it reads the fence of the current lease from the platform's table, because
// the fences accepted before the restart are not stored.
func (d *orderExecutor) execute(ctx context.Context, req *wire.OrderRequest) *wire.OrderReply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fence := core.Fence(req.GetFence())
	if !d.leaseFenceRead && d.opts.ReadFence != nil {
		current, err := d.opts.ReadFence(ctx)
		if err != nil {
			return &wire.OrderReply{Fence: uint64(d.fenceChecker.Highest()), Detail: "fence of the current lease cannot be read from the table; retry when the table is available: " + err.Error()}
		}
		d.fenceChecker.Accept(current)
		d.leaseFenceRead = true
	}
	if !d.fenceChecker.Accept(fence) {
		return &wire.OrderReply{Stale: true, Fence: uint64(d.fenceChecker.Highest()), Detail: "order has an outdated fence"}
	}
	err := d.submit(ctx, fence, req)
	d.logResult(fence, err)
	if err != nil {
		return &wire.OrderReply{Stale: errs.Is(err, errs.Stale), Fence: uint64(d.fenceChecker.Highest()), Detail: err.Error()}
	}
	return &wire.OrderReply{Done: true, Fence: uint64(d.fenceChecker.Highest())}
}

func (d *orderExecutor) submit(ctx context.Context, fence core.Fence, req *wire.OrderRequest) error {
	switch body := req.GetOrder().(type) {
	case *wire.OrderRequest_Load:
		model, version := core.ModelID(body.Load.GetModel()), core.WeightVersion(body.Load.GetVersion())
		return d.opts.Engine.Load(ctx, fence, engine.ModelName(model, version, ""))
	case *wire.OrderRequest_Role:
		return d.opts.Engine.SetRole(ctx, fence, body.Role.GetRole())
	default:
		return errs.New(errs.Invalid, "send a load or a role order", "order is neither a load nor a role order")
	}
}

func (d *orderExecutor) logResult(fence core.Fence, err error) {
	log := d.opts.Log.WithFields(logrus.Fields{"event": "order", "fence": fence, "upstream": d.opts.Upstream})
	if err != nil {
		log.WithError(err).Warn("order failed")
		return
	}
	log.Info("order executed")
}

// Order serves one administrative request. It waits until the order is executed.
func (s *server) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderReply, error) {
	if s.opts.Engine == nil || req.GetUpstream() != string(s.opts.Upstream) {
		return nil, errs.New(errs.NotFound, "dial the address in the bundle in force", "this agent does not accept orders for %s", req.GetUpstream())
	}
	reply := ring.New[*wire.OrderReply](1)
	if !s.orders.queue.Offer(order{req, reply}) {
		return &wire.OrderReply{Detail: "too many orders are waiting; retry later"}, nil
	}
	return reply.Receive(ctx)
}
