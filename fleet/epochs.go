package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// epochGracePeriod is the time in which this process normally receives a change
	// through its own duties. If it has not, it pulls the rows from the process that
	// sent the newer epoch.
	epochGracePeriod = 300 * time.Millisecond
	// observedEpochRingSize is the maximum number of received epochs that are queued.
	// When the ring is full, the oldest is dropped.
	observedEpochRingSize = 16
)

// observedEpoch is the epoch in a message of another process.
type observedEpoch struct {
	node  core.NodeID
	epoch core.Epoch
}

// Sender returns the sender field for the messages of this process, which contains
// its current epoch.
func (f *Fleet) Sender() *wire.Sender {
	return &wire.Sender{Node: string(f.opts.Self.Node), Incarnation: uint64(f.opts.Self.Incarnation), Epoch: uint64(f.View().Epoch)}
}

// ObserveEpoch records the epoch of another process's message if it is newer than
// the local one. It never blocks.
func (f *Fleet) ObserveEpoch(sender *wire.Sender) {
	if epoch := core.Epoch(sender.GetEpoch()); epoch > f.View().Epoch {
		f.observedEpochs.Push(observedEpoch{node: core.NodeID(sender.GetNode()), epoch: epoch})
	}
}

// runEpochs is the duty that pulls rows from a process with a newer epoch. The store
// may be slow or unresponsive for some processes while it responds to others.
func (f *Fleet) runEpochs(ctx context.Context) error {
	var requestedEpoch core.Epoch
	for {
		observed, err := f.observedEpochs.Receive(ctx)
		if err != nil {
			return nil
		}
		if observed.epoch <= requestedEpoch || observed.epoch <= f.View().Epoch {
			continue
		}
		if !duty.Pause(ctx, epochGracePeriod) {
			return nil
		}
		local := f.View().Epoch
		address := f.addressOf(observed.node)
		if observed.epoch <= local || address == "" {
			continue
		}
		requestedEpoch = observed.epoch
		f.opts.Log.WithFields(logrus.Fields{"event": "epoch_behind", "own": local, "heard": observed.epoch, "peer": observed.node}).Info("another process has a newer epoch; pulling its rows")
		f.pullFrom(ctx, address, f.newPullRequest(ctx))
	}
}

// addressOf returns the address of a member, or an empty string if it is not
// listed.
func (f *Fleet) addressOf(node core.NodeID) string {
	for _, m := range f.View().Members {
		if m.Node == node {
			return m.Address
		}
	}
	return ""
}
