package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// readersPerDomain is the number of processes of a failure domain that read the
	// store directly. The others pull from them. With two, they keep receiving changes
	// when one reader is lost.
	readersPerDomain = 2
	// readersSubject is the key that is hashed together with the node ids to select
	// the readers.
	readersSubject = "store readers"
	// readerPollInterval is the interval between two pulls from a reader. It adds to
	// the time until a change in the store takes effect.
	readerPollInterval = 200 * time.Millisecond
	// readerRetryInterval is the time for which a reader is excluded after a failed
	// pull. It is also the minimum time for which a process without a reader reads
	// the store directly.
	readerRetryInterval = 5 * time.Second
)

// runReaders is the duty that pulls changes from the readers of the local failure
// domain. It makes the feeds read the store directly when this process is a reader or
// when no reader is available.
func (f *Fleet) runReaders(ctx context.Context) error {
	failedAt := make(map[core.NodeID]time.Time)
	for ctx.Err() == nil {
		readers, readsStore := f.readers(time.Now(), failedAt)
		if readsStore {
			f.setReadsStore(true, "reader")
			if !f.awaitViewChange(ctx, len(failedAt) > 0) {
				return nil
			}
			for node, at := range failedAt {
				if time.Since(at) >= readerRetryInterval {
					delete(failedAt, node)
				}
			}
			continue
		}
		pulled := false
		for _, reader := range readers {
			if pulled = f.pullFrom(ctx, reader.Address, f.newPullRequest(ctx)); pulled {
				break
			}
			failedAt[reader.Node] = time.Now()
		}
		if ctx.Err() != nil {
			return nil
		}
		pause := readerPollInterval
		if !pulled {
			pause = readerRetryInterval
			f.setReadsStore(true, "no reader serves")
		} else {
			f.setReadsStore(false, "reader serves")
		}
		duty.Pause(ctx, pause)
	}
	return nil
}

// awaitViewChange waits until the view has changed. If a reader is excluded, it waits
// at most until that reader may be queried again. It reports whether the duty
// continues.
func (f *Fleet) awaitViewChange(ctx context.Context, hasExcluded bool) bool {
	waitCtx := ctx
	if hasExcluded {
		var cancel context.CancelFunc
		waitCtx, cancel = context.WithTimeout(ctx, readerRetryInterval)
		defer cancel()
	}
	_, err := f.viewChanged.Receive(waitCtx)
	return err == nil || ctx.Err() == nil && waitCtx.Err() != nil
}

// readers returns the readers of the local failure domain to pull from. readsStore is
// true if this process must read the store directly: it is a reader itself, or it is
// not listed as a member.
func (f *Fleet) readers(now time.Time, failedAt map[core.NodeID]time.Time) (readers []Member, readsStore bool) {
	var candidates []Member
	listed := false
	for _, m := range f.View().Members {
		if m.Domain != f.opts.Self.Domain || now.Sub(failedAt[m.Node]) < readerRetryInterval {
			continue
		}
		listed = listed || m.Node == f.opts.Self.Node
		candidates = append(candidates, m)
	}
	candidates = rendezvous.Ranked(candidates, readersSubject, func(m Member) string { return string(m.Node) })
	candidates = candidates[:min(readersPerDomain, len(candidates))]
	for _, m := range candidates {
		if m.Node == f.opts.Self.Node {
			return nil, true
		}
	}
	// The order depends on the local node, which distributes the pulling processes
	// over the readers.
	return rendezvous.Ranked(candidates, string(f.opts.Self.Node), func(m Member) string { return string(m.Node) }), !listed
}

// setReadsStore sets whether the feeds read the store directly, and notifies them
// of a change.
func (f *Fleet) setReadsStore(readsStore bool, cause string) {
	if f.readsStore.Swap(readsStore) == readsStore {
		return
	}
	f.opts.Log.WithFields(logrus.Fields{"event": "store_reading", "direct": readsStore, "cause": cause}).Info("source of rows has changed")
	for _, wake := range f.feedWakeups {
		wake.Push(struct{}{})
	}
}
