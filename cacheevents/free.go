package cacheevents

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/cacheindex"
)

const (
	// maxPartsPerOrder is the maximum number of parts in a queued order.
	maxPartsPerOrder = 400
	freeTimeout      = time.Second
	// orderCapacity is the number of orders that may wait. Further orders are
	// refused.
	orderCapacity = 16
)

// freeOrder is an order to a store to remove parts. Its epoch is the fencing token,
// so the store refuses the order after a restart.
type freeOrder struct {
	address string
	epoch   uint64
	keys    []cacheindex.Key
}

// QueueFree queues an order to remove parts of old weight versions from a store, if
// this process is the one that frees parts in the store. Parts beyond
// maxPartsPerOrder are omitted. The store removes the parts if it is still in the
// given incarnation. QueueFree reports whether the order was queued. The caller
// repeats orders that were refused and parts that were omitted.
func (f *Feed) QueueFree(address string, epoch uint64, keys []cacheindex.Key) bool {
	if len(keys) == 0 || !f.ownsFrees(address) {
		return false
	}
	return f.freeOrders.Offer(freeOrder{address: address, epoch: epoch, keys: keys[:min(len(keys), maxPartsPerOrder)]})
}

// runFreeOrders is the loop of the duty that sends the queued orders.
func (f *Feed) runFreeOrders(ctx context.Context) error {
	for {
		order, err := f.freeOrders.Receive(ctx)
		if err != nil {
			return nil
		}
		f.free(ctx, order, "old_weights")
	}
}

// free sends an order to a store and logs the result.
func (f *Feed) free(ctx context.Context, order freeOrder, cause string) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	log := f.log.WithFields(logrus.Fields{
		"event": "parts_freed", "store": order.address, "parts": len(order.keys), "epoch": order.epoch, "cause": cause,
	})
	if err := f.client.Free(ctx, order.address, order.epoch, order.keys); err != nil {
		log.WithError(err).Warn("freeing parts in the store failed")
		return
	}
	log.Info("freed parts in the store")
}
