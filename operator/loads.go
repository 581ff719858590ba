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
	// orderTimeout is the maximum time that the driver waits for the reply to an
	// order. A load takes about two thirds of a second.
	orderTimeout = 5 * time.Second
	// orderRetryInterval is the minimum time between a refused order and the next
	// order to the same engine.
	orderRetryInterval = time.Second
	// maxReportLag is the maximum time for which reports may lack a version after the
	// agent replied that it is loaded. Agents poll their engine four times a second
	// and report once a second.
	maxReportLag = 2500 * time.Millisecond
)

// loadStatus is the status of a load order.
type loadStatus uint8

const (
	// loadPending means that no reply has been received yet.
	loadPending loadStatus = iota
	// loadUnknown means that the order failed or its reply was lost. The load may
	// still be in progress. It is counted as in progress until the engine reports the
	// version or the status expires.
	loadUnknown
	// loadDone means that the agent replied that the version is loaded.
	loadDone
	// loadRefused means that the agent did not execute the order.
	loadRefused
)

// engineLoad is the last load order to one engine.
type engineLoad struct {
	modelName string
	model     core.ModelID
	// queuedAt is the time at which the order was queued.
	queuedAt time.Time
	status   loadStatus
	// expiresAt is the time at which the status expires. It is not used for
	// loadPending.
	expiresAt time.Time
}

// orderJob is an order that is queued for the orders duties.
type orderJob struct {
	upstream  core.UpstreamID
	address   string
	modelName string
	request   *wire.OrderRequest
	// fields are the log fields of the order.
	fields logrus.Fields
}

type orderResult struct {
	job   orderJob
	reply *wire.OrderReply
	err   error
	// notSent is set if the lease had ended before the order was sent.
	notSent bool
}

// expireLoads removes loads with an expired status, and loads of engines that are
// removed or drained. An engine may have lost its weights when it is available again
// after a drain or a restart.
func (t *termState) expireLoads(now time.Time, v *facts.View) {
	for id, l := range t.loads {
		u := v.Index.Upstreams[id]
		unavailable := u == nil || !v.UpstreamAllowed(u)
		if l.status != loadPending && (unavailable || !now.Before(l.expiresAt)) {
			delete(t.loads, id)
		}
	}
}

// engineLoadState returns two values. loaded is true if the engine has loaded the
// model's new version. orderBlocked is true if no order may be sent to the engine,
// because a load is or may be in progress or was refused recently.
func (t *termState) engineLoadState(now time.Time, v *facts.View, m *bundle.Model, id core.UpstreamID, state EngineState) (loaded, orderBlocked bool) {
	name := engine.ModelName(m.ID, m.Rollout.To, "")
	loaded = slices.Contains(state.LoadedModels, name)
	l := t.loads[id]
	if l == nil || l.modelName != name || loaded {
		return loaded, l != nil && l.status == loadPending
	}
	switch l.status {
	case loadDone:
		return v.UpstreamAllowed(v.Index.Upstreams[id]) && now.Before(l.expiresAt), false
	default:
		return false, true
	}
}

// countActiveLoads returns the number of loads of all models that may be in progress.
func (t *termState) countActiveLoads() int {
	n := 0
	for id, l := range t.loads {
		state, ok := t.EngineStates.State(id)
		reported := ok && slices.Contains(state.LoadedModels, l.modelName)
		if l.status == loadPending || (l.status == loadUnknown && !reported) {
			n++
		}
	}
	return n
}

// queueLoads queues orders while fewer than Timing.MaxConcurrentLoads loads are in
// progress. The limit applies to all models together, because they load from the same
// weight store.
func (t *termState) queueLoads(now time.Time, v *facts.View, m *bundle.Model, ids []core.UpstreamID) {
	for _, id := range ids {
		u := v.Index.Upstreams[id]
		if u == nil || t.loads[id] != nil || t.countActiveLoads() >= t.Timing.MaxConcurrentLoads {
			continue
		}
		job := orderJob{
			upstream: id, address: u.Agent, modelName: engine.ModelName(m.ID, m.Rollout.To, ""),
			request: &wire.OrderRequest{
				Sender:   &wire.Sender{Node: string(t.Node), Incarnation: uint64(t.Incarnation), Epoch: uint64(v.Head.Epoch)},
				Upstream: string(id),
				Fence:    uint64(t.fence),
				Order:    &wire.OrderRequest_Load{Load: &wire.LoadOrder{Model: string(m.ID), Version: string(m.Rollout.To)}},
			},
			fields: logrus.Fields{"event": "load_order", "upstream": id, "model": m.ID, "version": m.Rollout.To, "fence": t.fence},
		}
		if t.orderJobs.Offer(job) {
			t.loads[id] = &engineLoad{modelName: job.modelName, model: m.ID, queuedAt: now, status: loadPending}
		}
	}
}

// runOrders is a duty that sends orders one after another.
func (t *termState) runOrders(ctx context.Context) error {
	for {
		job, err := t.orderJobs.Receive(ctx)
		if err != nil {
			return nil
		}
		if t.orderResults.Send(ctx, t.sendOrder(ctx, job)) != nil {
			return nil
		}
	}
}

func (t *termState) sendOrder(ctx context.Context, job orderJob) orderResult {
	if !t.leaseHeld() {
		return orderResult{job: job, notSent: true}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := t.OrderSender.SendOrder(ctx, job.address, job.request)
	return orderResult{job: job, reply: reply, err: err}
}

// applyOrderResult updates the load with the result of its order.
func (t *termState) applyOrderResult(now time.Time, r orderResult) {
	l := t.loads[r.job.upstream]
	if l == nil {
		return
	}
	log := t.Log.WithFields(r.job.fields)
	switch {
	case r.notSent:
		delete(t.loads, r.job.upstream)
		log.Warn("lease ended before the order was sent; order dropped")
	case r.err != nil:
		l.status, l.expiresAt = loadUnknown, now.Add(2*t.Timing.LoadTime)
		log.WithError(r.err).Warn("order failed or its reply was lost; the load may be in progress")
	case r.reply.GetDone():
		l.status, l.expiresAt = loadDone, now.Add(maxReportLag)
		log.WithField("took", now.Sub(l.queuedAt)).Info("agent executed the load order")
	case r.reply.GetStale():
		t.newerFenceSeen = true
		log.WithField("newer", r.reply.GetFence()).Warn("agent has seen a newer fence; this lease term ends")
	default:
		l.status, l.expiresAt = loadRefused, now.Add(orderRetryInterval)
		log.WithField("detail", r.reply.GetDetail()).Warn("agent refused the load order")
	}
}
