package operator

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// orderTimeout bounds the wait for an agent's answer. A load takes about
	// two thirds of a second.
	orderTimeout = 5 * time.Second
	// orderRetry is the time to the next order after an agent refused one.
	orderRetry = time.Second
	// reportLag is how long a report may lack a version after the agent said
	// that it is loaded: agents ask their engine four times a second and report
	// once a second.
	reportLag = 2500 * time.Millisecond
)

// loadStep is how far one load order has come.
type loadStep uint8

const (
	// loadOrdered means that no answer has come yet.
	loadOrdered loadStep = iota
	// loadUnclear means that the answer was lost. The load may be under way and
	// counts against the pacing until it shows or its time has passed.
	loadUnclear
	// loadDone means that the agent said so.
	loadDone
	// loadRefused means that the agent did not carry out the order.
	loadRefused
)

// load is the last order to one engine.
type load struct {
	name   string
	model  core.ModelID
	sentAt time.Time
	step   loadStep
	// until is when the step ends.
	until time.Time
}

type orderJob struct {
	upstream core.UpstreamID
	address  string
	name     string
	request  *wire.OrderRequest
	fields   logrus.Fields
}

type orderResult struct {
	job   orderJob
	reply *wire.OrderReply
	err   error
	// unsent is set when the lease had ended before the order was sent.
	unsent bool
}

// settleLoads forgets loads whose time has passed or whose engine has left. An
// engine that comes back from a drain or a restart may have lost its weights.
func (t *term) settleLoads(now time.Time, v *facts.View) {
	for id, l := range t.loads {
		u := v.Index.Upstreams[id]
		gone := u == nil || !v.UpstreamAllowed(u)
		if l.step != loadOrdered && (gone || !now.Before(l.until)) {
			delete(t.loads, id)
		}
	}
}

// loadState returns whether the engine holds the model's new version, and
// whether an order to it is under way or was refused a moment ago.
func (t *term) loadState(now time.Time, v *facts.View, m *bundle.Model, id core.UpstreamID, state EngineState) (loaded, loading bool) {
	name := engine.ModelName(m.ID, m.Rollout.To, "")
	loaded = slices.Contains(state.LoadedModels, name)
	l := t.loads[id]
	if l == nil || l.name != name || loaded {
		return loaded, l != nil && l.step == loadOrdered
	}
	switch l.step {
	case loadDone:
		return v.UpstreamAllowed(v.Index.Upstreams[id]) && now.Before(l.until), false
	default:
		return false, true
	}
}

// underWay counts the loads of all models that may be running.
func (t *term) underWay() int {
	n := 0
	for id, l := range t.loads {
		state, ok := t.EngineStates.State(id)
		shown := ok && slices.Contains(state.LoadedModels, l.name)
		if l.step == loadOrdered || (l.step == loadUnclear && !shown) {
			n++
		}
	}
	return n
}

// load sends orders while fewer than the paced number of loads run. The pace
// holds for all models together, because they share the weight store.
func (t *term) load(now time.Time, v *facts.View, m *bundle.Model, ids []core.UpstreamID) {
	for _, id := range ids {
		u := v.Index.Upstreams[id]
		if u == nil || t.loads[id] != nil || t.underWay() >= t.Timing.MaxConcurrentLoads {
			continue
		}
		job := orderJob{
			upstream: id, address: u.Agent, name: engine.ModelName(m.ID, m.Rollout.To, ""),
			request: &wire.OrderRequest{
				Sender:   &wire.Sender{Node: string(t.Node), Incarnation: uint64(t.Incarnation), Epoch: uint64(v.Head.Epoch)},
				Upstream: string(id),
				Fence:    uint64(t.fence),
				Order:    &wire.OrderRequest_Load{Load: &wire.LoadOrder{Model: string(m.ID), Version: string(m.Rollout.To)}},
			},
			fields: logrus.Fields{"event": "load_order", "upstream": id, "model": m.ID, "version": m.Rollout.To, "fence": t.fence},
		}
		if t.orders.Offer(job) {
			t.loads[id] = &load{name: job.name, model: m.ID, sentAt: now, step: loadOrdered}
		}
	}
}

// runOrders is a duty that sends orders, one at a time.
func (t *term) runOrders(ctx context.Context) error {
	for {
		job, err := t.orders.Receive(ctx)
		if err != nil {
			return nil
		}
		if t.ordered.Send(ctx, t.send(ctx, job)) != nil {
			return nil
		}
	}
}

func (t *term) send(ctx context.Context, job orderJob) orderResult {
	if !t.holds() {
		return orderResult{job: job, unsent: true}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := t.OrderSender.SendOrder(ctx, job.address, job.request)
	return orderResult{job: job, reply: reply, err: err}
}

// noteOrder takes in the end of an order.
func (t *term) noteOrder(now time.Time, r orderResult) {
	l := t.loads[r.job.upstream]
	if l == nil {
		return
	}
	entry := t.Log.WithFields(r.job.fields)
	switch {
	case r.unsent:
		delete(t.loads, r.job.upstream)
		entry.Warn("lease ended before the order")
	case r.err != nil:
		l.step, l.until = loadUnclear, now.Add(2*t.Timing.LoadTime)
		entry.WithError(r.err).Warn("answer to the order was lost")
	case r.reply.GetDone():
		l.step, l.until = loadDone, now.Add(reportLag)
		entry.WithField("took", now.Sub(l.sentAt)).Info("order done")
	case r.reply.GetStale():
		t.replaced = true
		entry.WithField("newer", r.reply.GetFence()).Warn("agent has seen a newer fence, this term ends")
	default:
		l.step, l.until = loadRefused, now.Add(orderRetry)
		entry.WithField("detail", r.reply.GetDetail()).Warn("order refused")
	}
}
