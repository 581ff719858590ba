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
	// renewInterval is the interval between two renewals of the local row,
	// renewRetryInterval the interval after a failed renewal.
	renewInterval      = time.Minute
	renewRetryInterval = time.Second
	// memberExpiry is the time after its last renewal at which a process is no longer
	// counted as a member. localRegistrationExpiry is the time after its last renewal
	// at which this process stops using its shares of limits. It is shorter, so that
	// it stops using them before others use them.
	memberExpiry            = 200 * time.Second
	localRegistrationExpiry = 150 * time.Second
	// deregisterTimeout is the maximum time for the removal of the local row.
	deregisterTimeout = time.Second
)

// runRegistration is the duty that writes the row of this process and renews it
// until the process deregisters. It writes the row at once after the store's content was
// restored from a copy, which may lack it. A row remains until it has expired or its process
// is stopped as planned, so that limits are never divided among too few processes.
func (f *Fleet) runRegistration(ctx context.Context) error {
	value, err := encodeMember(f.opts.Self)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "member row of this process cannot be encoded")
	}
	row := Row{Table: MembersTable, Key: string(f.opts.Self.Node), Value: value}
	registered := false
	for {
		pause := f.register(ctx, row, registered)
		registered = registered || pause == renewInterval
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-f.reregistrations.Ready():
			timer.Stop()
			f.reregistrations.TryReceive()
		case <-f.deregistrations.Ready():
			timer.Stop()
			if done, ok := f.deregistrations.TryReceive(); ok {
				f.removeLocalRow(ctx, row)
				done.Push(struct{}{})
				return nil
			}
		}
	}
}

// register writes the row of this process and returns the time until the next attempt,
// which is renewInterval after a success.
func (f *Fleet) register(ctx context.Context, row Row, registered bool) time.Duration {
	if !f.previousRowRead {
		f.readPreviousRow(ctx)
	}
	requestedAt := clock.SinceBoot()
	response, err := f.opts.Store.Commit(ctx, Transaction{Puts: []Row{row}})
	switch {
	case err == nil:
		f.renewedAt.Store(int64(requestedAt))
		f.registeredIn.Store(uint64(response.Generation))
		if !registered {
			f.opts.Log.WithFields(logrus.Fields{"event": "registered", "address": f.opts.Self.Address}).Info("process registered")
		}
		f.removeExpired(ctx)
		return renewInterval
	case registered:
		f.opts.Log.WithField("event", "renewal_failed").WithError(err).Warn("registration was not renewed; retrying")
		return renewRetryInterval
	default:
		f.opts.Log.WithField("event", "register_failed").WithError(err).Warn("registration failed; retrying")
		return retryInterval
	}
}

// readPreviousRow records whether the store lists an earlier process of this node. Its row
// remains if the process was not stopped as planned. If the rows cannot be read, this
// process counts as one that joins, which is safe.
func (f *Fleet) readPreviousRow(ctx context.Context) {
	f.previousRowRead = true
	response, err := f.opts.Store.Rows(ctx, MembersTable)
	if err != nil {
		f.opts.Log.WithField("event", "previous_row_unread").WithError(err).Info("earlier registration is unknown; portions of limits are used after a delay")
		return
	}
	for _, row := range response.Rows {
		if row.Key == string(f.opts.Self.Node) {
			_, err := decodeMemberRow(row)
			f.listedBefore.Store(err == nil)
		}
	}
}

// Joins reports whether this process was not listed as a member when it started, as far as
// it knows, so that others have not counted it all the time.
func (f *Fleet) Joins() bool { return !f.listedBefore.Load() }

func (f *Fleet) removeLocalRow(ctx context.Context, row Row) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	row.Value = nil
	if _, err := f.opts.Store.Commit(ctx, Transaction{Removes: []Row{row}}); err != nil {
		f.opts.Log.WithField("event", "leave_failed").WithError(err).Warn("registration was not removed; it remains until it expires")
	}
}

// removeExpired removes the rows of processes that no longer renew them. Rendezvous
// hashing selects one live process for each row.
func (f *Fleet) removeExpired(ctx context.Context) {
	v := f.View()
	owned := f.ownedExpired(v)
	if len(owned) == 0 {
		return
	}
	localVersion, err := f.localRowVersion(ctx, v.MembersGeneration)
	if err != nil {
		f.opts.Log.WithField("event", "members_unread").WithError(err).Warn("local row was not read; rows of expired members are not removed")
		return
	}
	for _, row := range owned {
		if row.Version >= localVersion {
			continue // the conditions of removalOf need an older row; removed after the next renewal
		}
		log := f.opts.Log.WithFields(logrus.Fields{"event": "member_removed", "node": row.Key, "version": row.Version})
		if _, err := f.opts.Store.Commit(ctx, f.removalOf(row, localVersion)); err != nil {
			log.WithError(err).Warn("row of an expired member was not removed")
			continue
		}
		log.Info("row of an expired member was removed")
	}
}

// ownedExpired returns the rows of expired members that this process removes.
func (f *Fleet) ownedExpired(v *View) (owned []Row) {
	nodes := make([]core.NodeID, len(v.Members))
	for i, m := range v.Members {
		nodes[i] = m.Node
	}
	for _, row := range v.ExpiredMembers {
		if rendezvous.Owner(nodes, row.Key) == f.opts.Self.Node {
			owned = append(owned, row)
		}
	}
	return owned
}

// localRowVersion returns the version of the local row in the store, or an error if the
// store's content is of another generation.
func (f *Fleet) localRowVersion(ctx context.Context, generation core.Generation) (uint64, error) {
	response, err := f.opts.Store.Rows(ctx, MembersTable)
	if err != nil {
		return 0, err
	}
	if response.Generation != generation {
		return 0, errs.New(errs.Conflict, "wait for the table", "the store's content was restored since the expired rows were read")
	}
	for _, row := range response.Rows {
		if row.Key == string(f.opts.Self.Node) {
			return row.Version, nil
		}
	}
	return 0, errs.New(errs.Conflict, "register again", "the store has no local row")
}

// removalOf returns the transaction that removes the row of an expired member. The version
// of that row may be assigned again after the store's content was restored. The local row
// was written after it, so that content with the local row's version also has the row as
// it was read.
func (f *Fleet) removalOf(expired Row, localVersion uint64) Transaction {
	return Transaction{
		Conditions: []Row{
			{Table: MembersTable, Key: expired.Key, Version: expired.Version},
			{Table: MembersTable, Key: string(f.opts.Self.Node), Version: localVersion},
		},
		Removes: []Row{{Table: MembersTable, Key: expired.Key}},
	}
}

// RegistrationExpired reports whether other processes may already have stopped
// counting this one as a member, so that it must not use its shares of limits. It is false for a
// process that was never registered, since no other process has counted it.
func (f *Fleet) RegistrationExpired() bool {
	renewed := f.renewedAt.Load()
	return renewed != 0 && clock.SinceBoot()-time.Duration(renewed) >= localRegistrationExpiry
}

// Deregister removes the local row and waits for the removal until the context
// ends.
func (f *Fleet) Deregister(ctx context.Context) {
	done := ring.New[struct{}](1)
	if err := f.deregistrations.Send(ctx, done); err != nil {
		f.opts.Log.WithField("event", "leave_failed").WithError(err).Warn("registration was not removed; it remains until it expires")
		return
	}
	if _, err := done.Receive(ctx); err != nil {
		f.opts.Log.WithField("event", "leave_pending").WithError(err).Warn("removal of the registration has not finished in time")
	}
}
