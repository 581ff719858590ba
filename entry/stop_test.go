package entry_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/callerhttp"
	"waxwingtide.example/waxwingtide/duty"
)

// Guards against a call that is answered as unknown though it meets a stopping agent and could
// run at another one, and against an entry that keeps its connections to a stopping agent.
func TestCallsAcrossStopOfAgent(t *testing.T) {
	cl := newCluster(t, engineOptions())
	done := make(chan struct{})
	var callers conc.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			prompt := strings.Repeat("x", i+1)
			for {
				got := cl.sendPrompt(t, map[string]any{"model": "gate", "prompt": prompt, "max_tokens": 4, "stream": true}, apiKey)
				assert.True(t, got.complete, "status %d, response %q", got.status, got.body)
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	time.Sleep(200 * time.Millisecond)
	cl.servers[0].CloseListener(ctx)
	assert.NoError(t, cl.agents[0].Drain(ctx))
	assert.NoError(t, cl.servers[0].Drain(ctx), "the entry keeps connections to the agent")
	close(done)
	callers.Wait()
	got := cl.sendPrompt(t, map[string]any{"model": "gate", "prompt": "x", "max_tokens": 4, "stream": true}, apiKey)
	require.True(t, got.complete, "status %d, response %q", got.status, got.body)
	require.NotZero(t, cl.engines[1].Ledger().Requests)
}

// Guards against an entry without calls that keeps its watch stream and its idle connections
// to a stopping agent, so that the agent waits for them.
func TestIdleEntryClosesConnectionsToStoppingAgent(t *testing.T) {
	cl := newCluster(t, engineOptions())
	var callers conc.WaitGroup
	for range 4 {
		callers.Go(func() {
			cl.sendPrompt(t, map[string]any{"model": "gate", "prompt": "x", "max_tokens": 4, "stream": true}, apiKey)
		})
	}
	callers.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for i, a := range cl.agents {
		cl.servers[i].CloseListener(ctx)
		require.NoError(t, a.Drain(ctx))
		require.NoError(t, cl.servers[i].Drain(ctx), "the entry keeps connections to the agent")
	}
}

// Guards against calls that a planned stop of an entry takes and cuts at its end without a
// response: their engines do not respond in time.
func TestPlannedStopAnswersCallsThatOutlastIt(t *testing.T) {
	options := engineOptions()
	options.TokenTime = time.Minute
	cl := newCluster(t, options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	group := duty.NewGroup(context.Background(), discardLog())
	server := callerhttp.New(callerhttp.Options{
		Name: "callers", Listener: listener.(*net.TCPListener), Handler: cl.entry.Handler(), MaxHeaderBytes: 1 << 16, Log: discardLog(),
		Timeouts: func() callerhttp.Timeouts { return callerhttp.Timeouts{} },
	})
	server.Start(group)
	cl.url = "http://" + listener.Addr().String()
	var caller conc.WaitGroup
	caller.Go(func() {
		got := cl.sendPrompt(t, map[string]any{"model": "gate", "prompt": "x", "max_tokens": 4}, apiKey)
		assert.Equal(t, http.StatusGatewayTimeout, got.status)
	})
	require.Eventually(t, func() bool { return cl.engines[0].Ledger().Requests+cl.engines[1].Ledger().Requests > 0 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	cl.entry.Drain(ctx)
	assert.NoError(t, server.Drain(ctx))
	caller.Wait()
	group.Stop()
	require.NoError(t, group.Wait())
}
