package autoscale

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/singleton"
)

// orderTimeout is the timeout of one order. It is shorter if the authority ends earlier.
const orderTimeout = 2 * time.Second

// order is a count to be ordered under the authority with a fence.
type order struct {
	subject  singleton.Subject
	service  core.ServiceID
	domain   core.FailureDomain
	fence    core.Fence
	count    int
	previous int
	reason   Reason
}

// orderResult is the result of an order.
type orderResult struct {
	order order
	// err is nil if the order has taken effect.
	err  error
	took time.Duration
}

// runOrders is the loop of the duty that sends orders, one after the other.
func (s *Scaler) runOrders(ctx context.Context) error {
	for {
		o, err := s.orders.Receive(ctx)
		if err != nil {
			return nil
		}
		startedAt := time.Now()
		err = s.sendOrder(ctx, o)
		if err := s.results.Send(ctx, orderResult{order: o, err: err, took: time.Since(startedAt)}); err != nil {
			return nil
		}
	}
}

// sendOrder sends an order unless its authority has ended.
func (s *Scaler) sendOrder(ctx context.Context, o order) error {
	authority, ok := s.opts.Leases.Authority(o.subject)
	remaining := authority.StopAt - s.opts.SinceBoot()
	if !ok || authority.Fence != o.fence || remaining <= 0 {
		return errs.New(errs.Stale, "let the new holder decide", "the authority for %s has ended", o.subject)
	}
	ctx, cancel := context.WithTimeout(ctx, min(orderTimeout, remaining))
	defer cancel()
	return s.opts.Client.SetCount(ctx, authority, o.service, o.domain, o.count)
}
