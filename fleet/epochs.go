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

// observedEpoch is the position in a message of another process.
type observedEpoch struct {
	node     core.NodeID
	position Position
}

// Sender returns the sender field for the messages of this process, which contains
// its current epoch and the generation of that epoch.
func (f *Fleet) Sender() *wire.Sender {
	v := f.View()
	return &wire.Sender{
		Node: string(f.opts.Self.Node), Incarnation: uint64(f.opts.Self.Incarnation),
		Epoch: uint64(v.Epoch), Generation: uint64(v.Generation),
	}
}

// ObserveEpoch records the epoch of another process's message if it is newer than
// the local one. It never blocks.
func (f *Fleet) ObserveEpoch(sender *wire.Sender) {
	position := Position{core.Generation(sender.GetGeneration()), sender.GetEpoch()}
	if position.Compare(f.View().position()) > 0 {
		f.observedEpochs.Push(observedEpoch{node: core.NodeID(sender.GetNode()), position: position})
	}
}

// runEpochs is the duty that pulls rows from a process with a newer epoch. The store
// may be slow or unresponsive for some processes while it responds to others.
func (f *Fleet) runEpochs(ctx context.Context) error {
	var requested Position
	for {
		observed, err := f.observedEpochs.Receive(ctx)
		if err != nil {
			return nil
		}
		if observed.position.Compare(requested) <= 0 || observed.position.Compare(f.View().position()) <= 0 {
			continue
		}
		if !duty.Pause(ctx, epochGracePeriod) {
			return nil
		}
		local := f.View().position()
		address := f.addressOf(observed.node)
		if observed.position.Compare(local) <= 0 || address == "" {
			continue
		}
		requested = observed.position
		f.opts.Log.WithFields(logrus.Fields{
			"event": "epoch_behind", "own": local.Version, "own_generation": local.Generation,
			"heard": requested.Version, "heard_generation": requested.Generation, "peer": observed.node,
		}).Info("another process has a newer epoch; pulling its rows")
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
