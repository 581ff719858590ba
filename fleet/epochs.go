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
	// epochWait is the time in which this process learns of a change by itself,
	// before it asks the process that knows of it.
	epochWait = 300 * time.Millisecond
	// heardRing bounds the epochs that wait; the oldest are dropped.
	heardRing = 16
)

// heard is an epoch that another process knows.
type heard struct {
	node  core.NodeID
	epoch core.Epoch
}

// Identity is the sender of this process's messages.
func (f *Fleet) Identity() *wire.Sender {
	return &wire.Sender{Node: string(f.opts.Self.Node), Incarnation: uint64(f.opts.Self.Incarnation), Epoch: uint64(f.View().Epoch)}
}

// ObserveEpoch takes the epoch of another process's message. It never blocks.
func (f *Fleet) ObserveEpoch(sender *wire.Sender) {
	if epoch := core.Epoch(sender.GetEpoch()); epoch > f.View().Epoch {
		f.heard.Push(heard{node: core.NodeID(sender.GetNode()), epoch: epoch})
	}
}

// followEpochs is the duty that learns what another process knows and the store
// has not told this one: a store may be slow or silent for single processes.
func (f *Fleet) followEpochs(ctx context.Context) error {
	var asked core.Epoch
	for {
		h, err := f.heard.Receive(ctx)
		if err != nil {
			return nil
		}
		if h.epoch <= asked || h.epoch <= f.View().Epoch {
			continue
		}
		if !duty.Pause(ctx, epochWait) {
			return nil
		}
		own := f.View().Epoch
		address := f.addressOf(h.node)
		if h.epoch <= own || address == "" {
			continue
		}
		asked = h.epoch
		f.opts.Log.WithFields(logrus.Fields{"event": "epoch_behind", "own": own, "heard": h.epoch, "peer": h.node}).Info("another process knows a newer change")
		f.pullFrom(ctx, address, f.question(ctx))
	}
}

// addressOf returns where a member is reached, or nothing if it is not known.
func (f *Fleet) addressOf(node core.NodeID) string {
	for _, m := range f.View().Members {
		if m.Node == node {
			return m.Address
		}
	}
	return ""
}
