package cacheevents

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/cacheindex"
)

const (
	// maxFreeParts is the maximum number of parts in a queued free request.
	maxFreeParts = 400
	freeTimeout  = time.Second
	// freeCapacity is the number of free requests that may wait. Further requests
	// are refused, and the router repeats them at its next sweep.
	freeCapacity = 16
)

// freeRequest lists parts to remove from a store.
type freeRequest struct {
	address string
	epoch   uint64
	keys    []cacheindex.Key
}

// QueueFree queues a request to remove parts from a store, if this process is the
// one that frees parts of the store. The store removes the parts if it is still in
// the given incarnation. QueueFree reports whether the request was queued.
func (f *Feed) QueueFree(address string, epoch uint64, keys []cacheindex.Key) bool {
	if len(keys) == 0 || !f.isFreer(address) {
		return false
	}
	return f.freeRequests.Offer(freeRequest{address: address, epoch: epoch, keys: keys[:min(len(keys), maxFreeParts)]})
}

// runFreeRequests is the loop of the duty that frees parts.
func (f *Feed) runFreeRequests(ctx context.Context) error {
	for {
		request, err := f.freeRequests.Receive(ctx)
		if err != nil {
			return nil
		}
		f.freeParts(ctx, request, "old_weights")
	}
}

func (f *Feed) freeParts(ctx context.Context, request freeRequest, cause string) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	log := f.log.WithFields(logrus.Fields{
		"event": "parts_freed", "store": request.address, "parts": len(request.keys), "epoch": request.epoch, "cause": cause,
	})
	if err := f.client.Free(ctx, request.address, request.epoch, request.keys); err != nil {
		log.WithError(err).Warn("freeing parts in the store failed")
		return
	}
	log.Info("freed parts in the store")
}
