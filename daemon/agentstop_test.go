package daemon_test

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/daemon"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

// runAgent runs an agent whose store is away. It returns what stops it and its result.
func runAgent(t *testing.T, inner net.Listener, kind bundle.UpstreamKind) (stop func(), exited chan error) {
	t.Helper()
	unused := listen(t)
	store := "http://" + unused.Addr().String()
	require.NoError(t, unused.Close())
	secret := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(secret, []byte("secret"), 0o600))
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(t.Context())
	exited = make(chan error, 1)
	s := &settings.Agent{Common: settings.Common{
		Node: "agent-1", FailureDomain: "z1", FailureDomains: []core.FailureDomain{"z1"}, StopTimeout: time.Minute,
		Platform: settings.Platform{
			TableURL: store, TableName: "t", ObjectsURL: store, Bucket: "b", MembersURL: store, AccessKey: "a", SecretKeyFile: secret,
		},
	}}
	s.Upstream.ID, s.Upstream.Kind, s.Upstream.URL = "u-1", kind, store
	go func() {
		exited <- daemon.RunAgent(ctx, s, daemon.Deps{Log: log, InnerListener: inner, AdminListener: listen(t)})
	}()
	return stop, exited
}

// sendsUntilRefused sends calls to an agent across its planned stop, from several callers over
// pooled connections, until each caller can open no connection. From the time at which the
// agent accepts none, the callers close their idle connections after a rejection, as entries
// do. Before, an agent without a bundle rejects calls for the same reason. send sends one call
// and returns the reason of its rejection.
func sendsUntilRefused(t *testing.T, kind bundle.UpstreamKind, send func(ctx context.Context, client wire.DRPCAgentClient) (wire.RejectReason, error)) {
	t.Helper()
	inner := listen(t)
	address := inner.Addr().String()
	stop, exited := runAgent(t, inner, kind)
	dialer := transport.NewDialer(nil, nil)
	var closing atomic.Bool
	var callers conc.WaitGroup
	for range 8 {
		callers.Go(func() {
			for {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				reason, err := send(ctx, wire.NewDRPCAgentClient(dialer.Dial(ctx, address)))
				cancel()
				if errs.Is(err, errs.Unavailable) {
					return // no connection is opened: the call is not sent
				}
				if !assert.NoError(t, err, "the outcome of a call that has not run is unknown") {
					return
				}
				assert.Equal(t, wire.RejectReason_REJECT_DRAINING, reason)
				if closing.Load() {
					dialer.CloseIdle(address)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	requireRefused(t, address)
	closing.Store(true)
	callers.Wait()
	require.NoError(t, <-exited)
	require.NoError(t, dialer.Close())
}

// requireRefused waits until connections to an address are refused.
func requireRefused(t *testing.T, address string) {
	t.Helper()
	require.Eventually(t, func() bool {
		probe, err := net.Dial("tcp", address)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	}, testTimeout, 5*time.Millisecond)
}

// Guards against calls with an unknown outcome that arrive at an agent after its drain
// and have not run.
func TestStoppingAgentRejectsCalls(t *testing.T) {
	sendsUntilRefused(t, bundle.KindService, func(ctx context.Context, client wire.DRPCAgentClient) (wire.RejectReason, error) {
		reply, err := client.Call(ctx, &wire.CallRequest{Upstream: "u-1", Attempt: "a", DeadlineMs: 1000})
		if err == nil {
			assert.Equal(t, wire.Outcome_OUTCOME_REJECTED, reply.GetOutcome())
		}
		return reply.GetReason(), err
	})
}

// Guards against runs with an unknown outcome that arrive at an agent after its drain and
// have not been submitted to the engine.
func TestStoppingAgentRejectsRuns(t *testing.T) {
	sendsUntilRefused(t, bundle.KindEngine, func(ctx context.Context, client wire.DRPCAgentClient) (wire.RejectReason, error) {
		frames, err := client.Run(ctx, &wire.RunRequest{Upstream: "u-1", Attempt: "a", DeadlineMs: 1000})
		if err != nil {
			return 0, err
		}
		frame, err := frames.Recv()
		_ = frames.Close()
		<-frames.Context().Done()
		return frame.GetReject().GetReason(), err
	})
}

// Guards against a planned stop that waits until the stop timeout for a peer that keeps its
// connection open.
func TestStoppingAgentEndsWithOpenConnections(t *testing.T) {
	inner := listen(t)
	stop, exited := runAgent(t, inner, bundle.KindService)
	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	stop()
	select {
	case err := <-exited:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		require.Fail(t, "the agent still runs")
	}
	require.NoError(t, conn.Close())
}
