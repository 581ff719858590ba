package fleet_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a front that is missing from the members until its next renewal, so that
// limits are divided among too few: the removal that its previous process sent at a planned
// stop got no response and takes effect after the front has registered again.
func TestFrontRegistersAgainAfterLateRemoval(t *testing.T) {
	const node = "front-1"
	store := standin.NewPlatformStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
	p := startProcess(t, server.Listener.Addr().String(), 1)
	isRegistered := func() bool {
		_, ok := store.Row(string(fleet.MembersTable), node)
		return ok
	}
	require.Eventually(t, func() bool { return isRegistered() && len(p.fleet.View().Members) == 1 }, eventuallyTimeout, 10*time.Millisecond)
	store.Put(string(fleet.MembersTable), node, nil)
	require.Eventually(t, isRegistered, eventuallyTimeout, 10*time.Millisecond)
}
