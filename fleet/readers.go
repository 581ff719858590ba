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
	// readersPerDomain is how many processes of a failure domain follow the store
	// themselves; the others learn from them. Two, so that the loss of one is not
	// noticed.
	readersPerDomain = 2
	// readersSubject names the duty of reading in the order of rendezvous hashing.
	readersSubject = "store readers"
	// relayInterval is the time between two questions to a reader. It adds to the
	// time in which a change of the store takes effect.
	relayInterval = 200 * time.Millisecond
	// readerPause is how long a reader that did not serve is left out, and how long
	// a process without a reader follows the store itself at least.
	readerPause = 5 * time.Second
)

// followReaders learns of changes from readers of the own failure domain, and
// has the feeds follow the store when this process is a reader or none serves.
func (f *Fleet) followReaders(ctx context.Context) error {
	failed := make(map[core.NodeID]time.Time)
	for ctx.Err() == nil {
		readers, self := f.readers(time.Now(), failed)
		if self {
			f.setDirect(true, "reader")
			if !f.awaitMembers(ctx, len(failed) > 0) {
				return nil
			}
			for node, at := range failed {
				if time.Since(at) >= readerPause {
					delete(failed, node)
				}
			}
			continue
		}
		served := false
		for _, reader := range readers {
			if served = f.pullFrom(ctx, reader.Address, f.question(ctx)); served {
				break
			}
			failed[reader.Node] = time.Now()
		}
		if ctx.Err() != nil {
			return nil
		}
		pause := relayInterval
		if !served {
			pause = readerPause
			f.setDirect(true, "no reader serves")
		} else {
			f.setDirect(false, "reader serves")
		}
		duty.Pause(ctx, pause)
	}
	return nil
}

// awaitMembers waits until the view has changed, or until a reader that did not
// serve may be asked again. It reports whether the duty goes on.
func (f *Fleet) awaitMembers(ctx context.Context, leftOut bool) bool {
	wait := ctx
	if leftOut {
		var cancel context.CancelFunc
		wait, cancel = context.WithTimeout(ctx, readerPause)
		defer cancel()
	}
	_, err := f.membersChanged.Receive(wait)
	return err == nil || ctx.Err() == nil && wait.Err() != nil
}

// readers returns the processes of the own failure domain that are to follow the
// store, and whether this process is one of them. A process that is not listed
// follows the store.
func (f *Fleet) readers(now time.Time, failed map[core.NodeID]time.Time) (readers []Member, self bool) {
	var near []Member
	listed := false
	for _, m := range f.View().Members {
		if m.Domain != f.opts.Self.Domain || now.Sub(failed[m.Node]) < readerPause {
			continue
		}
		listed = listed || m.Node == f.opts.Self.Node
		near = append(near, m)
	}
	near = rendezvous.Rank(near, readersSubject, func(m Member) string { return string(m.Node) })
	near = near[:min(readersPerDomain, len(near))]
	for _, m := range near {
		if m.Node == f.opts.Self.Node {
			return nil, true
		}
	}
	// Those that ask are spread over the readers.
	return rendezvous.Rank(near, string(f.opts.Self.Node), func(m Member) string { return string(m.Node) }), !listed
}

// setDirect notes whether the feeds follow the store.
func (f *Fleet) setDirect(direct bool, cause string) {
	if f.direct.Swap(direct) == direct {
		return
	}
	f.opts.Log.WithFields(logrus.Fields{"event": "store_reading", "direct": direct, "cause": cause}).Info("way to the store's rows has changed")
	for _, wake := range f.feeds {
		wake.Push(struct{}{})
	}
}
