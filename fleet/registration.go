package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// registerInterval is the time between two renewals of the own row, and
	// registerRetry that after a renewal that failed.
	registerInterval = time.Minute
	registerRetry    = time.Second
	// memberLapse is how long after its last renewal a process no longer counts,
	// and ownLapse when it stops using its shares of limits. It stops earlier than
	// others take the shares over.
	memberLapse = 200 * time.Second
	ownLapse    = 150 * time.Second
	// leaveTimeout bounds the removal of the own row.
	leaveTimeout = time.Second
)

// register writes this process's own row and renews it until the process leaves.
// Limits are never shared among too few: a row stays until it has lapsed or its
// process is stopped as planned.
func (f *Fleet) register(ctx context.Context) error {
	value, err := encodeMember(f.opts.Self)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "own row cannot be encoded")
	}
	row := Row{Table: MembersTable, Key: string(f.opts.Self.Node), Value: value}
	registered := false
	for {
		pause := registerInterval
		askedAt := clock.SinceBoot()
		_, err := f.opts.Store.Commit(ctx, Transaction{Puts: []Row{row}})
		switch {
		case err == nil:
			f.renewedAt.Store(int64(askedAt))
			if !registered {
				f.opts.Log.WithFields(logrus.Fields{"event": "registered", "address": f.opts.Self.Address}).Info("process is registered")
			}
			registered = true
			f.removeLapsed(ctx)
		case registered:
			pause = registerRetry
			f.opts.Log.WithField("event", "renewal_failed").WithError(err).Warn("own row was not renewed")
		default:
			pause = retryInterval
			f.opts.Log.WithField("event", "register_failed").WithError(err).Warn("process is not registered yet")
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-f.leaves.Ready():
			timer.Stop()
			if done, ok := f.leaves.TryReceive(); ok {
				f.removeOwn(ctx, row)
				done.Push(struct{}{})
				return nil
			}
		}
	}
}

func (f *Fleet) removeOwn(ctx context.Context, row Row) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	row.Value = nil
	if _, err := f.opts.Store.Commit(ctx, Transaction{Removes: []Row{row}}); err != nil {
		f.opts.Log.WithField("event", "leave_failed").WithError(err).Warn("own row was not removed")
	}
}

// removeLapsed removes rows of processes that have long stopped renewing them.
// One live process does so for each of them.
func (f *Fleet) removeLapsed(ctx context.Context) {
	v := f.View()
	nodes := make([]core.NodeID, len(v.Members))
	for i, m := range v.Members {
		nodes[i] = m.Node
	}
	for _, row := range v.ExpiredMembers {
		if rendezvous.Owner(nodes, row.Key) != f.opts.Self.Node {
			continue
		}
		log := f.opts.Log.WithFields(logrus.Fields{"event": "member_removed", "node": row.Key, "version": row.Version})
		tx := Transaction{Conditions: []Row{{Table: MembersTable, Key: row.Key, Version: row.Version}}, Removes: []Row{{Table: MembersTable, Key: row.Key}}}
		if _, err := f.opts.Store.Commit(ctx, tx); err != nil {
			log.WithError(err).Warn("row of a lapsed process was not removed")
			continue
		}
		log.Info("row of a lapsed process was removed")
	}
}

// RegistrationExpired reports whether the others may have stopped counting this process, so
// that it must not use its shares of limits. A process that was never registered
// is counted by none and does not lapse.
func (f *Fleet) RegistrationExpired() bool {
	renewed := f.renewedAt.Load()
	return renewed != 0 && clock.SinceBoot()-time.Duration(renewed) >= ownLapse
}

// Deregister has the own row removed and waits for it until the context ends.
func (f *Fleet) Deregister(ctx context.Context) {
	done := ring.New[struct{}](1)
	if err := f.leaves.Send(ctx, done); err != nil {
		f.opts.Log.WithField("event", "leave_failed").WithError(err).Warn("own row was not removed")
		return
	}
	if _, err := done.Receive(ctx); err != nil {
		f.opts.Log.WithField("event", "leave_pending").WithError(err).Warn("own row is not removed yet")
	}
}
