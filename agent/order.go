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
	orderRing    = 4
	orderTimeout = 30 * time.Second
)

// order is one administrative request to the engine.
type order struct {
	req   *wire.OrderRequest
	reply *ring.Ring[*wire.OrderReply]
}

// orders is the duty that owns the highest fence seen and sends orders to the
// engine one at a time. It protects engines that ignore fencing tokens.
type orders struct {
	opts  Options
	in    *ring.Ring[order]
	gate  lease.FenceChecker
	known bool
}

func newOrders(o Options) *orders {
	return &orders{opts: o, in: ring.New[order](orderRing)}
}

func (d *orders) run(ctx context.Context) error {
	for {
		o, err := d.in.Receive(ctx)
		if err != nil {
			return err
		}
		o.reply.Offer(d.execute(ctx, o.req))
	}
}

// execute checks the fence and passes the order on. After a restart the fence
// is read from the table first, since this process has forgotten what it saw.
func (d *orders) execute(ctx context.Context, req *wire.OrderRequest) *wire.OrderReply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fence := core.Fence(req.GetFence())
	if !d.known && d.opts.ReadFence != nil {
		current, err := d.opts.ReadFence(ctx)
		if err != nil {
			return &wire.OrderReply{Fence: uint64(d.gate.Highest()), Detail: "fence cannot be read from the table; retry when it is back: " + err.Error()}
		}
		d.gate.Accept(current)
		d.known = true
	}
	if !d.gate.Accept(fence) {
		return &wire.OrderReply{Stale: true, Fence: uint64(d.gate.Highest()), Detail: "order carries an old fence"}
	}
	err := d.pass(ctx, fence, req)
	d.log(fence, err)
	if err != nil {
		return &wire.OrderReply{Stale: errs.Is(err, errs.Stale), Fence: uint64(d.gate.Highest()), Detail: err.Error()}
	}
	return &wire.OrderReply{Done: true, Fence: uint64(d.gate.Highest())}
}

func (d *orders) pass(ctx context.Context, fence core.Fence, req *wire.OrderRequest) error {
	switch o := req.GetOrder().(type) {
	case *wire.OrderRequest_Load:
		model, version := core.ModelID(o.Load.GetModel()), core.WeightVersion(o.Load.GetVersion())
		return d.opts.Engine.Load(ctx, fence, engine.ModelName(model, version, ""))
	case *wire.OrderRequest_Role:
		return d.opts.Engine.Role(ctx, fence, o.Role.GetRole())
	default:
		return errs.New(errs.Invalid, "send a load or a role order", "order has no known kind")
	}
}

func (d *orders) log(fence core.Fence, err error) {
	entry := d.opts.Log.WithFields(logrus.Fields{"event": "order", "fence": fence, "upstream": d.opts.Upstream})
	if err != nil {
		entry.WithError(err).Warn("order failed")
		return
	}
	entry.Info("order done")
}

// Order passes an administrative request to the orders duty.
func (s *server) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderReply, error) {
	if s.opts.Engine == nil || req.GetUpstream() != string(s.opts.Upstream) {
		return nil, errs.New(errs.NotFound, "dial the address in the bundle in force", "this agent takes no orders for %s", req.GetUpstream())
	}
	reply := ring.New[*wire.OrderReply](1)
	if !s.orders.in.Offer(order{req, reply}) {
		return &wire.OrderReply{Detail: "another order is under way; retry later"}, nil
	}
	return reply.Receive(ctx)
}
