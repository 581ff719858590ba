package fleet

import (
	"context"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
)

// register writes this process's own row. The row stays until the process is
// stopped as planned, so that limits are never shared among too few.
func (f *Fleet) register(ctx context.Context) error {
	value, err := encodeMember(f.opts.Self)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "own row cannot be encoded")
	}
	row := Row{Table: Members, Key: string(f.opts.Self.Node), Value: value}
	for ctx.Err() == nil {
		_, err := f.opts.Store.Commit(ctx, Transaction{Puts: []Row{row}})
		if err == nil {
			f.opts.Log.WithFields(logrus.Fields{"event": "registered", "address": f.opts.Self.Address}).Info("process is registered")
			return nil
		}
		f.opts.Log.WithField("event", "register_failed").WithError(err).Warn("process is not registered yet")
		duty.Pause(ctx, retryInterval)
	}
	return nil
}

// Leave removes this process's own row.
func (f *Fleet) Leave(ctx context.Context) {
	row := Row{Table: Members, Key: string(f.opts.Self.Node)}
	if _, err := f.opts.Store.Commit(ctx, Transaction{Removes: []Row{row}}); err != nil {
		f.opts.Log.WithField("event", "leave_failed").WithError(err).Warn("own row was not removed")
	}
}
