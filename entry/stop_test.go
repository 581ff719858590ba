package entry_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
