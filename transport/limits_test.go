package transport_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/transport"
)

// Guards against connections of the inner protocol that are refused without a log line.
func TestRefusedConnectionIsLogged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log, hook := logrustest.NewNullLogger()
	guard := transport.NewGuard(transport.Limits{Connections: 1})
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = guard.Serve(ctx, listener, nil, drpcmux.New()) })
	group.Go(func() { _ = guard.LogRefusals(log)(ctx) })
	defer group.Wait()
	defer cancel()
	for range 2 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	require.Eventually(t, func() bool { return hook.LastEntry() != nil }, 10*time.Second, 5*time.Millisecond)
	line := hook.LastEntry()
	require.Equal(t, logrus.WarnLevel, line.Level)
	require.Equal(t, "clients_refused", line.Data["event"])
	require.EqualValues(t, 1, line.Data["refused_connections"])
}
