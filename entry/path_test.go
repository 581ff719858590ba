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

// control is a fixed view that a test may replace.
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

// path is an entry, two agents and their engines in one process.
type cluster struct {
	url     string
	engines []*standin.Engine
	agents  []*agent.Agent
	control *fakeControl
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newCluster(t *testing.T, options standin.EngineOptions) *cluster {
	p := &cluster{control: &fakeControl{}}
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
	p.control.view.Store(&facts.View{Head: facts.Head{Epoch: 1}, Index: bundle.NewIndex(b)})
	for i, listener := range listeners {
		p.startAgent(t, group, b.Upstreams[i].ID, listener, options)
	}
	p.startEntry(t, group)
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
	})
	return p
}

func (p *cluster) startAgent(t *testing.T, group *duty.Group, id core.UpstreamID, listener net.Listener, options standin.EngineOptions) {
	e := standin.NewEngine(options)
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		e.Close()
		server.Close()
	})
	a, err := agent.New(agent.Options{
		Node: core.NodeID("agent-" + id), Incarnation: 1, Upstream: id, Control: p.control,
		Engine: engine.New(engine.Options{BaseURL: server.URL, HTTP: server.Client()}), Log: discardLog(),
	})
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, a.Register(mux))
	a.Start(group)
	group.Go("inner "+string(id), func(ctx context.Context) error { return transport.Serve(ctx, listener, nil, mux) })
	p.engines = append(p.engines, e)
	p.agents = append(p.agents, a)
}

func (p *cluster) startEntry(t *testing.T, group *duty.Group) {
	dialer := transport.NewDialer(nil, nil)
	t.Cleanup(func() { _ = dialer.Close() })
	e, err := entry.New(entry.Options{
		Node: "entry-1", Incarnation: 1, Control: p.control, Dial: dialer.Dial, Log: discardLog(), Seed: 7,
		Limits:  settings.Limits{BodyBytes: 1 << 20, Waiting: 64, Timeout: time.Minute},
		Routing: settings.Routing{MaxWatched: 64},
	})
	require.NoError(t, err)
	e.Start(group)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	p.url = server.URL
}

// answer is what a caller receives.
type callResult struct {
	status   int
	text     string
	complete bool
	body     string
	usage    engine.Usage
}

func (p *cluster) sendPrompt(t *testing.T, body map[string]any, key string) callResult {
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.url+"/v1/completions", strings.NewReader(string(raw)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	a := callResult{status: resp.StatusCode}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		all, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		a.body = string(all)
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			break
		}
		var chunk engine.CompletionChunk
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		if len(chunk.Choices) > 0 {
			a.text += chunk.Choices[0].Text
		}
		if chunk.Usage != nil {
			a.usage = *chunk.Usage
		}
	}
	return a
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

// Guards against an answer that is not the whole answer to the caller's own
// prompt, in both forms, and against a returning prompt that is computed anew.
func TestPromptEndToEnd(t *testing.T) {
	p := newCluster(t, engineOptions())
	prompt := strings.Repeat("gate 17 greased before the rains; ", 100)
	got := p.sendPrompt(t, map[string]any{"model": "gate", "prompt": prompt, "max_tokens": 12, "stream": true}, apiKey)
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.True(t, got.complete)
	require.Equal(t, expectedText(prompt, 12), got.text)
	require.Zero(t, got.usage.CachedTokens)

	got = p.sendPrompt(t, map[string]any{"model": "gate", "prompt": prompt, "max_tokens": 12, "stream": true}, apiKey)
	require.Equal(t, expectedText(prompt, 12), got.text)
	require.Greater(t, got.usage.CachedTokens, got.usage.PromptTokens/2, "the returning prompt went to another upstream")

	got = p.sendPrompt(t, map[string]any{"model": "gate", "prompt": prompt, "max_tokens": 12}, apiKey)
	require.Equal(t, http.StatusOK, got.status)
	var whole engine.CompletionChunk
	require.NoError(t, json.Unmarshal([]byte(got.body), &whole))
	require.Equal(t, expectedText(prompt, 12), whole.Choices[0].Text)
}

// Guards against requests that are wrong but reach an upstream, and against
// errors that do not say what to do.
func TestBadRequests(t *testing.T) {
	p := newCluster(t, engineOptions())
	cases := map[string]struct {
		body   map[string]any
		key    string
		status int
		want   string
	}{
		"no key":          {map[string]any{"model": "gate", "prompt": "x"}, "", 401, "Authorization"},
		"foreign key":     {map[string]any{"model": "gate", "prompt": "x"}, "other", 401, "bundle in force"},
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
			got := p.sendPrompt(t, c.body, c.key)
			require.Equal(t, c.status, got.status)
			require.Contains(t, got.body, c.want)
		})
	}
	for _, e := range p.engines {
		require.Zero(t, e.Ledger().Requests)
	}
}

// Guards against an engine's crash or cut stream that reaches the caller: the
// run resumes elsewhere at the token position.
func TestResumeAfterCut(t *testing.T) {
	p := newCluster(t, engineOptions())
	fault := &standin.VersionFault{CutAfter: 5, Match: func(r engine.CompletionRequest) bool { return r.ResumeFrom == 0 }}
	for _, e := range p.engines {
		e.SetVersionFault(engine.ModelName(model, version, ""), fault)
	}
	got := p.sendPrompt(t, map[string]any{"model": "gate", "prompt": "is gate 4 due?", "max_tokens": 20, "stream": true}, apiKey)
	require.True(t, got.complete, "stream ended without the end mark after %q", got.text)
	require.Equal(t, expectedText("is gate 4 due?", 20), got.text)
}

// Guards against a refusal that claims "not run" for a prompt that an engine
// has taken, and against one that hides that nothing ran.
func TestOutcomeOfRefusals(t *testing.T) {
	p := newCluster(t, engineOptions())
	for _, e := range p.engines {
		e.SetVersionFault(engine.ModelName(model, version, ""), &standin.VersionFault{Slowdown: 1e6})
	}
	prompt := strings.Repeat("x", 4096)
	body := map[string]any{"model": "gate", "prompt": prompt, "stream": true}
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.url+"/v1/completions", strings.NewReader(string(raw)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Waxwingtide-Timeout-Ms", "300")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)

	for _, a := range p.agents {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = a.Drain(ctx)
	}
	req, err = http.NewRequestWithContext(t.Context(), http.MethodPost, p.url+"/v1/completions", strings.NewReader(string(raw)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Waxwingtide-Timeout-Ms", "300")
	resp, err = http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}
