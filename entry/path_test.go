package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/agent"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/entry"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/transport"
)

const (
	model   = core.ModelID("gate")
	version = core.WeightVersion("v1")
	apiKey  = "key-of-crew"
)

// fakeControl returns the view that a test has stored.
type fakeControl struct {
	view        atomic.Pointer[facts.View]
	subscribers []*ring.Ring[*facts.View]
}

func (c *fakeControl) View() *facts.View       { return c.view.Load() }
func (c *fakeControl) Ready() bool             { return true }
func (c *fakeControl) ObserveEpoch(core.Epoch) {}
func (c *fakeControl) Subscribe() *ring.Ring[*facts.View] {
	r := ring.New[*facts.View](1)
	c.subscribers = append(c.subscribers, r)
	return r
}

// cluster consists of an entry, two agents and their engines in one process.
type cluster struct {
	url     string
	engines []*standin.Engine
	agents  []*agent.Agent
	// servers serve the inner protocol of the agents.
	servers []*transport.Server
	control *fakeControl
	entry   *entry.Entry
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newCluster(t *testing.T, options standin.EngineOptions) *cluster {
	cl := &cluster{control: &fakeControl{}}
	group := duty.NewGroup(context.Background(), discardLog())
	b := &bundle.Bundle{
		Version: "1",
		Models:  []bundle.Model{{ID: model, Versions: []core.WeightVersion{version}, Stable: version}},
		Workspaces: []bundle.Workspace{{
			ID: "district", Models: []core.ModelID{model},
			Callers: []bundle.Caller{{ID: "crew", KeySHA256: security.HashSecret(apiKey)}},
		}},
	}
	var listeners []net.Listener
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, listener)
		b.Upstreams = append(b.Upstreams, bundle.Upstream{
			ID: core.UpstreamID("eng-" + strconv.Itoa(i)), Kind: bundle.KindEngine, Agent: listener.Addr().String(),
			FailureDomain: "celaya", Model: model, MaxWindow: 8,
		})
	}
	cl.control.view.Store(&facts.View{Head: facts.Head{Epoch: 1}, Index: bundle.NewIndex(b)})
	for i, listener := range listeners {
		cl.startAgent(t, group, b.Upstreams[i].ID, listener, options)
	}
	cl.startEntry(t, group)
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
	})
	return cl
}

func (cl *cluster) startAgent(t *testing.T, group *duty.Group, id core.UpstreamID, listener net.Listener, options standin.EngineOptions) {
	e := standin.NewEngine(options)
	engineServer := httptest.NewServer(e)
	t.Cleanup(func() {
		e.Close()
		engineServer.Close()
	})
	a, err := agent.New(agent.Options{
		Node: core.NodeID("agent-" + id), Incarnation: 1, Upstream: id, Control: cl.control,
		Engine: engine.New(engine.Options{BaseURL: engineServer.URL, HTTP: engineServer.Client()}), Log: discardLog(),
	})
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, a.Register(mux))
	a.Start(group)
	server := transport.NewServer(listener.(*net.TCPListener), nil, mux)
	group.Go("inner "+string(id), server.Run)
	cl.servers = append(cl.servers, server)
	cl.engines = append(cl.engines, e)
	cl.agents = append(cl.agents, a)
}

func (cl *cluster) startEntry(t *testing.T, group *duty.Group) {
	dialer := transport.NewDialer(nil, nil)
	t.Cleanup(func() { _ = dialer.Close() })
	e, err := entry.New(entry.Options{
		Node: "entry-1", Incarnation: 1, Control: cl.control, Dial: dialer.Dial, CloseIdle: dialer.CloseIdle, Log: discardLog(), Seed: 7,
		Limits:  settings.Limits{BodyBytes: 1 << 20, Waiting: 64, Timeout: time.Minute},
		Routing: settings.Routing{MaxWatched: 64},
	})
	require.NoError(t, err)
	e.Start(group)
	cl.entry = e
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	cl.url = server.URL
}

// callResult is the response that a caller received.
type callResult struct {
	status   int
	text     string
	complete bool
	body     string
	usage    engine.Usage
}

func (cl *cluster) sendPrompt(t *testing.T, body map[string]any, key string) callResult {
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, cl.url+"/v1/completions", strings.NewReader(string(raw)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	result := callResult{status: resp.StatusCode}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		all, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		result.body = string(all)
		return result
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.complete = true
			break
		}
		var chunk engine.CompletionChunk
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		if len(chunk.Choices) > 0 {
			result.text += chunk.Choices[0].Text
		}
		if chunk.Usage != nil {
			result.usage = *chunk.Usage
		}
	}
	return result
}

func expectedText(prompt string, tokens int) string {
	scope := core.CacheScope{Workspace: "district", Model: model, Version: version}
	return standin.ExpectedAnswer(scope.Salt(), engine.ModelName(model, version, ""), prompt, tokens)
}

func engineOptions() standin.EngineOptions {
	return standin.EngineOptions{
		Models: []string{engine.ModelName(model, version, "")}, PrefillRate: 1 << 20, MaxBatch: 8, CacheBlocks: 256, KVBytes: 1024,
		TokenTime: time.Millisecond,
	}
}

// Guards against a response that is incomplete or belongs to another prompt, in both
// formats, and against a repeated prompt that is computed again without the cache.
func TestPromptEndToEnd(t *testing.T) {
	cl := newCluster(t, engineOptions())
	prompt := strings.Repeat("gate 17 greased before the rains; ", 100)
	got := cl.sendPrompt(t, map[string]any{"model": "gate", "prompt": prompt, "max_tokens": 12, "stream": true}, apiKey)
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.True(t, got.complete)
	require.Equal(t, expectedText(prompt, 12), got.text)
	require.Zero(t, got.usage.CachedTokens)

	got = cl.sendPrompt(t, map[string]any{"model": "gate", "prompt": prompt, "max_tokens": 12, "stream": true}, apiKey)
	require.Equal(t, expectedText(prompt, 12), got.text)
	require.Greater(t, got.usage.CachedTokens, got.usage.PromptTokens/2, "the repeated prompt was not computed from the cache")

	got = cl.sendPrompt(t, map[string]any{"model": "gate", "prompt": prompt, "max_tokens": 12}, apiKey)
	require.Equal(t, http.StatusOK, got.status)
	var chunk engine.CompletionChunk
	require.NoError(t, json.Unmarshal([]byte(got.body), &chunk))
	require.Equal(t, expectedText(prompt, 12), chunk.Choices[0].Text)
}

// Guards against invalid requests that are sent to an upstream, and against errors that do
// not state how to correct the request.
func TestBadRequests(t *testing.T) {
	cl := newCluster(t, engineOptions())
	cases := map[string]struct {
		body   map[string]any
		key    string
		status int
		want   string
	}{
		"no key":          {map[string]any{"model": "gate", "prompt": "x"}, "", 401, "Authorization"},
		"unknown key":     {map[string]any{"model": "gate", "prompt": "x"}, "other", 401, "bundle in force"},
		"unknown model":   {map[string]any{"model": "none", "prompt": "x"}, apiKey, 400, "name one of"},
		"unknown adapter": {map[string]any{"model": "gate+a", "prompt": "x"}, apiKey, 400, "adapters"},
		"no prompt":       {map[string]any{"model": "gate"}, apiKey, 400, "prompt is empty"},
		"bad tokens":      {map[string]any{"model": "gate", "prompt": "x", "max_tokens": -1}, apiKey, 400, "max_tokens"},
		"bad tier":        {map[string]any{"model": "gate", "prompt": "x", "service_tier": "gold"}, apiKey, 400, "priority, flex"},
		"wrong type":      {map[string]any{"model": 3}, apiKey, 400, "JSON"},
		"too large":       {map[string]any{"model": "gate", "prompt": strings.Repeat("x", 1<<20)}, apiKey, 413, "shorten"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := cl.sendPrompt(t, c.body, c.key)
			require.Equal(t, c.status, got.status)
			require.Contains(t, got.body, c.want)
		})
	}
	for _, e := range cl.engines {
		require.Zero(t, e.Ledger().Requests)
	}
}

// Guards against an interrupted engine stream that interrupts the response to the caller.
// The call must be resumed at the position of the next token on the other upstream.
func TestResumeAfterInterruptedStream(t *testing.T) {
	cl := newCluster(t, engineOptions())
	fault := &standin.VersionFault{CutAfter: 5, Match: func(r engine.CompletionRequest) bool { return r.ResumeFrom == 0 }}
	for _, e := range cl.engines {
		e.SetVersionFault(engine.ModelName(model, version, ""), fault)
	}
	got := cl.sendPrompt(t, map[string]any{"model": "gate", "prompt": "is gate 4 due?", "max_tokens": 20, "stream": true}, apiKey)
	require.True(t, got.complete, "stream ended without the end marker after %q", got.text)
	require.Equal(t, expectedText("is gate 4 due?", 20), got.text)
}

// Guards against an error response which states that a prompt did not run although an engine
// may have run it, and against one which does not state that a prompt did not run. In the
// first case the deadline passes during the run, in the second case all agents are drained.
func TestErrorsStateWhetherPromptRan(t *testing.T) {
	cl := newCluster(t, engineOptions())
	for _, e := range cl.engines {
		e.SetVersionFault(engine.ModelName(model, version, ""), &standin.VersionFault{Slowdown: 1e6})
	}
	prompt := strings.Repeat("x", 4096)
	body := map[string]any{"model": "gate", "prompt": prompt, "stream": true}
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, cl.url+"/v1/completions", strings.NewReader(string(raw)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Waxwingtide-Timeout-Ms", "300")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)

	for _, a := range cl.agents {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = a.Drain(ctx)
	}
	req, err = http.NewRequestWithContext(t.Context(), http.MethodPost, cl.url+"/v1/completions", strings.NewReader(string(raw)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Waxwingtide-Timeout-Ms", "300")
	resp, err = http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}
