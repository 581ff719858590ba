package engine_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
)

const model = "gate@v1"

var scope = core.CacheScope{Workspace: "celaya", Model: "gate", Version: "v1"}

func startEngine(t *testing.T, o standin.EngineOptions) (*standin.Engine, *engine.Client) {
	t.Helper()
	if o.Models == nil {
		o.Models = []string{model}
	}
	e := standin.NewEngine(o)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(e.Close)
	return e, engine.New(engine.Options{BaseURL: server.URL, HTTP: server.Client()})
}

func request(prompt string, maxTokens int) engine.CompletionRequest {
	return engine.CompletionRequest{
		Model: model, Prompt: prompt, MaxTokens: maxTokens, CacheSalt: scope.Salt(), RequestID: "r1",
	}
}

// collect runs a completion and returns its text from the first token on.
func collect(ctx context.Context, c *engine.Client, req engine.CompletionRequest) (string, engine.Usage, error) {
	var text strings.Builder
	usage, _, err := c.Complete(ctx, req, func(_ int, token string) error {
		text.WriteString(token)
		return nil
	})
	return text.String(), usage, err
}

func prompt(blocks int) string { return strings.Repeat("grease log 0815 ", blocks*core.BlockBytes/16) }

// Guards against a cached prefix that is recomputed, or whose use is not
// reported, and against a lost or reordered part of the answer.
func TestCompleteUsesCachedPrefix(t *testing.T) {
	e, c := startEngine(t, standin.EngineOptions{CacheBlocks: 16})
	want := standin.ExpectedAnswer(scope.Salt(), model, prompt(4), 12)
	for _, cached := range []int{0, 512} {
		text, usage, err := collect(t.Context(), c, request(prompt(4), 12))
		require.NoError(t, err)
		require.Equal(t, want, text)
		require.Equal(t, engine.Usage{PromptTokens: 512, CompletionTokens: 12, CachedTokens: cached}, usage)
	}
	resumed := request(prompt(4), 12)
	resumed.ResumeFrom = 5
	text, usage, err := collect(t.Context(), c, resumed)
	require.NoError(t, err)
	require.Equal(t, want[5*standin.TokenBytes:], text)
	require.Equal(t, 7, usage.CompletionTokens)
	ledger := e.Ledger()
	require.Equal(t, [2]int{3 * 512, 512}, [2]int{ledger.PromptTokens, ledger.RecomputedTokens})
}

// Guards against blocks that change on the way from one engine to another, and
// against a use of damaged or foreign blocks that goes unnoticed.
func TestExportImport(t *testing.T) {
	_, from := startEngine(t, standin.EngineOptions{CacheBlocks: 16})
	_, _, err := collect(t.Context(), from, request(prompt(3), 1))
	require.NoError(t, err)
	var keys []string
	for _, key := range core.BlockKeys(scope.Salt(), prompt(3)) {
		keys = append(keys, key.String())
	}
	blocks, err := from.Export(t.Context(), engine.ExportRequest{Salt: scope.Salt(), Keys: append(keys, "gone")})
	require.NoError(t, err)
	require.Len(t, blocks, 3)
	cases := map[string]struct {
		change  func([]engine.Block)
		damaged int
		foreign int
	}{
		"whole":     {func([]engine.Block) {}, 0, 0},
		"cut":       {func(b []engine.Block) { b[1].Data = b[1].Data[:1000] }, 1, 0},
		"misplaced": {func(b []engine.Block) { b[0].Data, b[1].Data = b[1].Data, b[0].Data }, 2, 0},
		"foreign": {func(b []engine.Block) {
			b[2].Data = []byte(strings.Replace(string(b[2].Data), model, "gate@v2", 1))
		}, 1, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e, to := startEngine(t, standin.EngineOptions{CacheBlocks: 16})
			changed := append([]engine.Block{}, blocks...)
			tc.change(changed)
			require.NoError(t, to.Import(t.Context(), engine.ImportRequest{Salt: scope.Salt(), Blocks: changed}))
			text, usage, err := collect(t.Context(), to, request(prompt(3), 4))
			require.NoError(t, err)
			require.Equal(t, 384, usage.CachedTokens)
			require.Equal(t, tc.damaged+tc.foreign == 0, text == standin.ExpectedAnswer(scope.Salt(), model, prompt(3), 4))
			require.Equal(t, tc.damaged, e.Ledger().DamagedBlocks)
			require.Equal(t, tc.foreign, e.Ledger().ForeignBlocks)
		})
	}
	_, small := startEngine(t, standin.EngineOptions{CacheBlocks: 2})
	err = small.Import(t.Context(), engine.ImportRequest{Salt: scope.Salt(), Blocks: blocks})
	require.True(t, errs.Is(err, errs.Exhausted), "%v", err)
}

// Guards against load samples and cache events that cannot be read.
func TestSampleInfoAndEvents(t *testing.T) {
	e, c := startEngine(t, standin.EngineOptions{CacheBlocks: 4, EventGap: 3})
	_, _, err := collect(t.Context(), c, request(prompt(2), 1))
	require.NoError(t, err)
	load, err := c.Sample(t.Context())
	require.NoError(t, err)
	require.Equal(t, engine.Load{CacheUse: 0.5}, load)
	e.TurnCold()
	info, err := c.Info(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{model}, info.Loaded)
	page, err := c.Events(t.Context(), 1)
	require.NoError(t, err)
	require.Equal(t, info.CacheEpoch, page.CacheEpoch)
	require.Len(t, page.Events, 1, "event 3 is a gap")
	require.Equal(t, "stored", page.Events[0].Kind)
	require.Len(t, page.Events[0].Keys, 2)
}

// Guards against a deferrable run that starts before a waiting urgent one, and
// against a batch place that a cancelled run keeps.
func TestBatchPriorityAndCancel(t *testing.T) {
	e, c := startEngine(t, standin.EngineOptions{MaxBatch: 1, TokenTime: time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group conc.WaitGroup
	started := make(chan string, 3)
	start := func(ctx context.Context, name string, priority, maxTokens int) {
		req := request(name, maxTokens)
		req.Priority = priority
		group.Go(func() {
			_, _, _ = c.Complete(ctx, req, func(position int, _ string) error {
				if position == 0 {
					started <- name
				}
				return nil
			})
		})
	}
	waitForWaiting := func(n int) {
		require.Eventually(t, func() bool {
			load, err := c.Sample(t.Context())
			return err == nil && load.Waiting == n
		}, time.Minute, time.Millisecond)
	}
	start(ctx, "holder", 1, 1_000_000)
	require.Equal(t, "holder", <-started)
	start(t.Context(), "deferrable", 1, 1)
	waitForWaiting(1)
	start(t.Context(), "urgent", 0, 1)
	waitForWaiting(2)
	cancel()
	require.Equal(t, "urgent", <-started)
	require.Equal(t, "deferrable", <-started)
	group.Wait()
	require.Equal(t, 1, e.Ledger().Cancelled)
}
