package cacheevents

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/cacheindex"
)

const (
	// freeParts bounds the parts of one call.
	freeParts   = 400
	freeTimeout = time.Second
	// freeRing bounds the orders that wait; further ones are dropped, and given
	// again at the next sweep.
	freeRing = 16
)

// freeOrder names parts of a store that are of no more use.
type freeOrder struct {
	address string
	epoch   uint64
	keys    []cacheindex.Key
}

// QueueFree queues a request to remove parts from a store, if this process is the
// one that frees parts of the store. The store removes the parts if it is still in
// the given incarnation. QueueFree reports whether the request was queued.
func (f *Feed) QueueFree(address string, epoch uint64, keys []cacheindex.Key) bool {
	if len(keys) == 0 || !f.freer(address) {
		return false
	}
	return f.frees.Offer(freeOrder{address: address, epoch: epoch, keys: keys[:min(len(keys), freeParts)]})
}

// runFrees is the duty that frees parts.
func (f *Feed) runFrees(ctx context.Context) error {
	for {
		order, err := f.frees.Receive(ctx)
		if err != nil {
			return nil
		}
		f.free(ctx, order, "old_weights")
	}
}

func (f *Feed) free(ctx context.Context, order freeOrder, cause string) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	log := f.log.WithFields(logrus.Fields{
		"event": "parts_freed", "store": order.address, "parts": len(order.keys), "epoch": order.epoch, "cause": cause,
	})
	if err := f.client.Free(ctx, order.address, order.epoch, order.keys); err != nil {
		log.WithError(err).Warn("parts were not freed")
		return
	}
	log.Info("parts were freed")
}
