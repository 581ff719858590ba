package weights

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/duty"
)

// load updates one server to the target version and reports whether the server
// has it.
func (l *Loader) load(ctx context.Context, job Job) bool {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	log := l.opts.Log.WithFields(logrus.Fields{"upstream": job.Upstream.ID, "model": job.Model, "weights": job.TargetVersion})
	var orderedAt time.Time
	failedPolls := 0
	for ctx.Err() == nil {
		state, err := l.state(ctx, job)
		if err != nil {
			if failedPolls++; failedPolls >= maxFailedPolls {
				log.WithField("event", "load_failed").WithError(err).Warn("model server did not report its state, load job failed")
				return false
			}
			continue
		}
		failedPolls = 0
		if state.Weights[job.Model] >= job.TargetVersion {
			log.WithFields(logrus.Fields{"event": "weights_loaded", "orders": state.AcceptedOrders}).Info("model server has loaded the weights")
			return true
		}
		pause := pollInterval
		if !state.Busy && time.Since(orderedAt) >= orderRetryDelay {
			switch l.sendOrder(ctx, job, state, log) {
			case AlreadyLoaded:
				return true
			case Accepted:
				orderedAt, pause = time.Now(), minLoadTime
			case Conflicting:
			default:
				// The job fails, so that its slot is free for other servers. If the order
				// is executed although no response was received, the next job observes it
				// in the state of the server.
				return false
			}
		}
		duty.Pause(ctx, pause)
	}
	return false
}

func (l *Loader) state(ctx context.Context, job Job) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.opts.Engines.State(ctx, job.Upstream.Address)
}

// sendOrder sends an order if the lease is still held.
func (l *Loader) sendOrder(ctx context.Context, job Job, state EngineState, log logrus.FieldLogger) OrderResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held := l.heldLease.Load()
	if held == nil || clock.SinceBoot() >= held.stopAt {
		return Refused
	}
	result, err := l.opts.Engines.Load(ctx, Order{
		Upstream: job.Upstream.ID, Address: job.Upstream.Address, Model: job.Model, Version: job.TargetVersion,
		Mode: l.opts.Mode, Holder: l.opts.Self, Fence: held.fence, ExpectedOrders: state.AcceptedOrders,
	})
	entry := log.WithFields(logrus.Fields{"event": "order", "fence": held.fence, "orders": state.AcceptedOrders, "reply": result})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("load order sent")
	return result
}
