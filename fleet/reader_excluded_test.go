package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/fleet"
)

// Guards against calls to an upstream that has left, from a process that the store rejects
// while it serves the others: what the peers provide shows that the store is available.
func TestRemovedUpstreamIsDroppedByReaderThatStoreRejects(t *testing.T) {
	r := newRestorableStore(t)
	r.putConfig(1)
	r.putUpstream("i-1", 1, "ready")
	r.putUpstream("i-2", 1, "ready")
	r.start(4)
	r.await("start", 1, "i-1", "i-2")
	var readers []*process
	require.Eventually(t, func() bool {
		readers = storeReaders(r.processes)
		return len(readers) == 2
	}, 2*eventuallyTimeout, time.Millisecond)
	readers[0].store.failing.Store(true)
	time.Sleep(2500 * time.Millisecond) // until pending calls have ended
	_, err := readers[1].store.Commit(context.Background(), fleet.Transaction{Removes: []fleet.Row{{Table: "servers", Key: "i-2"}}})
	require.NoError(t, err)
	r.await("the upstream has left", 1, "i-1")
}
