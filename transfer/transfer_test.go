package transfer_test

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/transfer"
)

const (
	model     = "gate@v1"
	maxTokens = 4
)

var scope = core.CacheScope{Workspace: "celaya", Model: "gate", Version: "v1"}

// TestMain guards against duties and fetches that are still running after their group
// has stopped.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type node struct {
	t        *testing.T
	engine   *standin.Engine
	client   *engine.Client
	transfer *transfer.Handle
}

func serve(t *testing.T, h http.Handler) (url string, client *http.Client) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL, server.Client()
}

// startNode starts an engine with its duties. The initial prefill rate is very low, so
// that imports are worthwhile and do not reach their time limits.
func startNode(t *testing.T, o transfer.Options) *node {
	t.Helper()
	e := standin.NewEngine(standin.EngineOptions{Models: []string{model}, CacheBlocks: 64})
	t.Cleanup(e.Close)
	url, client := serve(t, e)
	o.Engine = engine.New(engine.Options{BaseURL: url, HTTP: client})
	o.LinkRate = cmp.Or(o.LinkRate, 1<<30)
	o.PrefillRate = cmp.Or(o.PrefillRate, 100)
	o.LookupTimeout = cmp.Or(o.LookupTimeout, time.Minute)
	o.StoreRetryInterval = 20 * time.Millisecond
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Log = log
	n := &node{t: t, engine: e, client: o.Engine, transfer: transfer.New(o)}
	group := duty.NewGroup(t.Context(), log)
	n.transfer.Start(group)
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
	})
	return n
}

// run prepares and runs a prompt and checks the response. It returns the imported bytes
// and the number of blocks that the engine had cached.
func (n *node) run(ctx context.Context, prompt string) (imported, cachedBlocks int) {
	n.t.Helper()
	imported, _ = n.transfer.ImportPrefix(ctx, scope, prompt, core.Urgent)
	var text strings.Builder
	usage, _, err := n.client.Complete(n.t.Context(), engine.CompletionRequest{
		Model: model, Prompt: prompt, MaxTokens: maxTokens, CacheSalt: scope.Salt(), RequestID: "r",
	}, func(_ int, token string) error {
		text.WriteString(token)
		return nil
	})
	require.NoError(n.t, err)
	require.Equal(n.t, standin.ExpectedAnswer(scope.Salt(), model, prompt, maxTokens), text.String())
	n.transfer.RecordRun(scope, prompt, usage)
	return imported, usage.CachedTokens * standin.TokenBytes / core.BlockBytes
}

func (n *node) flush() {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(n.t.Context(), time.Minute)
	defer cancel()
	require.NoError(n.t, n.transfer.Flush(ctx))
}

// requireRecent waits until the cache duty has published the wanted number of recent
// keys, which shows that it has applied the preceding events.
func (n *node) requireRecent(want int) {
	n.t.Helper()
	require.Eventually(n.t, func() bool { return len(n.transfer.RecentKeys()) == want }, time.Minute, time.Millisecond)
}

func (n *node) requireCleanLedger() {
	n.t.Helper()
	l := n.engine.Ledger()
	require.Equal(n.t, [3]int{}, [3]int{l.ForeignBlocks, l.DamagedBlocks, l.BadImports})
}

func startStore(t *testing.T, id string, o standin.KeptCacheOptions) (*standin.KeptCache, transfer.Store) {
	t.Helper()
	store := standin.NewKeptCache(o)
	t.Cleanup(store.Close)
	url, client := serve(t, store)
	return store, transfer.Store{ID: id, Client: cachestore.New(cachestore.Options{BaseURL: url, HTTPClient: client})}
}

func prompt(name string, blocks int) string {
	return strings.Repeat(name+strings.Repeat(".", 64-len(name)), blocks*core.BlockBytes/64)
}

// Guards against exported KV cache that another engine does not import, and against a
// common prefix of prompts that is recomputed for every prompt with a new suffix.
func TestImportOnAnotherEngine(t *testing.T) {
	store, s := startStore(t, "kept-1", standin.KeptCacheOptions{})
	first := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
	second := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
	handbook := prompt("handbook", 4)
	for _, note := range []string{"belt 1", "belt 2"} {
		first.run(t.Context(), handbook+prompt(note, 2))
	}
	first.flush()
	imported, cached := second.run(t.Context(), handbook+prompt("belt 1", 2))
	require.Equal(t, 6*4096, imported)
	require.Equal(t, 6, cached)
	// Waits until the run is in the recent keys. Only then does an empty list show that
	// the new cache epoch was applied.
	second.requireRecent(1)
	second.engine.TurnCold()
	second.transfer.PushEvents(engine.EventPage{CacheEpoch: 99})
	second.requireRecent(0)
	imported, cached = second.run(t.Context(), handbook+prompt("belt 3", 2))
	require.Equal(t, 4*4096, imported)
	require.Equal(t, 4, cached)
	imported, cached = second.run(t.Context(), handbook+prompt("belt 3", 2))
	require.Zero(t, imported, "the prompt is in the engine cache")
	require.Equal(t, 6, cached)
	keys := core.BlockKeys(scope.Salt(), handbook+prompt("belt 3", 2))
	require.Equal(t, keys[5], second.transfer.RecentKeys()[0])
	require.Zero(t, store.Ledger().EarlyManifests)
	second.requireCleanLedger()
}

// Guards against a store fault that affects a run by more than recomputation, and
// against a node that does not use the store after the fault.
func TestStoreFaultsCauseRecomputation(t *testing.T) {
	faults := func(f standin.KeptCacheFaults) func(*standin.KeptCache) {
		return func(s *standin.KeptCache) { s.SetFaults(f) }
	}
	cases := map[string]func(*standin.KeptCache){
		"down":           faults(standin.KeptCacheFaults{Down: true}),
		"slow":           faults(standin.KeptCacheFaults{Delay: time.Hour}),
		"answers lost":   faults(standin.KeptCacheFaults{LoseAnswers: true}),
		"corrupt pieces": faults(standin.KeptCacheFaults{CorruptPieces: true}),
		"half manifest":  faults(standin.KeptCacheFaults{HalfManifests: true}),
		"lost all":       (*standin.KeptCache).LoseEverything,
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			store, s := startStore(t, "kept-1", standin.KeptCacheOptions{})
			first := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
			limit := map[string]time.Duration{"slow": 10 * time.Millisecond}[name]
			second := startNode(t, transfer.Options{Stores: []transfer.Store{s}, LookupTimeout: limit})
			first.run(t.Context(), prompt("log", 4))
			first.flush()
			fault(store)
			imported, cached := second.run(t.Context(), prompt("log", 4))
			require.Zero(t, imported)
			require.Zero(t, cached)
			second.requireCleanLedger()
			store.SetFaults(standin.KeptCacheFaults{})
			// An invalid manifest is deleted in the background. The flush waits for
			// the deletion, which could otherwise remove the manifest written next.
			second.flush()
			first.flush()
			third := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
			imported, _ = third.run(t.Context(), prompt("log", 4))
			require.Equal(t, 4*4096, imported)
			require.Zero(t, store.Ledger().EarlyManifests)
			third.requireCleanLedger()
		})
	}
}

// Guards against a lost piece that prevents the import of the blocks before it, and
// against a manifest with a lost piece that is not replaced.
func TestLostPieceTruncatesImportedPrefix(t *testing.T) {
	store, s := startStore(t, "kept-1", standin.KeptCacheOptions{})
	first := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
	second := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
	first.run(t.Context(), prompt("log", 4))
	first.flush()
	keys := core.BlockKeys(scope.Salt(), prompt("log", 4))
	require.NoError(t, s.Client.DeletePiece(t.Context(), scope.Salt(), keys[2].String()))
	imported, cached := second.run(t.Context(), prompt("log", 4))
	require.Equal(t, 2*4096, imported)
	require.Equal(t, 2, cached)
	second.flush()
	require.Equal(t, 4, store.Ledger().Pieces, "the complete prompt is exported again")
	second.requireCleanLedger()
}

// Guards against polling that continues at the old position after the engine has
// restarted its sequence numbers.
func TestEventPositionResetsAfterEngineRestart(t *testing.T) {
	n := startNode(t, transfer.Options{EventPollInterval: time.Millisecond})
	for range 3 {
		n.run(t.Context(), prompt("log", 4))
		n.requireRecent(1)
		n.engine.Crash(0)
		n.requireRecent(0)
	}
}

// Guards against exports that stop permanently after the failure of one of two stores.
func TestFlushExportsToAvailableStore(t *testing.T) {
	dead, a := startStore(t, "kept-1", standin.KeptCacheOptions{})
	live, b := startStore(t, "kept-2", standin.KeptCacheOptions{})
	n := startNode(t, transfer.Options{Stores: []transfer.Store{a, b}})
	for _, name := range []string{"p", "q", "r", "s"} {
		n.run(t.Context(), prompt(name, 2))
	}
	n.flush()
	require.Positive(t, dead.Ledger().Manifests)
	dead.SetFaults(standin.KeptCacheFaults{Down: true})
	n.flush()
	require.Equal(t, 4, live.Ledger().Manifests, "after the failure of one store its prefixes are exported to the other")
	live.SetFaults(standin.KeptCacheFaults{Down: true})
	n.run(t.Context(), prompt("t", 2))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.True(t, errs.Is(n.transfer.Flush(ctx), errs.Unavailable), "a flush without an available store returns when its context ends")
}

// Guards against a full store that retains prefixes of lower value, or in which
// manifests refer to deleted pieces.
func TestFullStoreEvictsLowestValue(t *testing.T) {
	store, s := startStore(t, "kept-1", standin.KeptCacheOptions{MemoryBytes: 2*4*4096 + 2*1024})
	n := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
	for range 3 {
		n.run(t.Context(), prompt("returns", 4))
	}
	n.flush()
	for _, name := range []string{"once 1", "once 2", "once 3"} {
		n.run(t.Context(), prompt(name, 4))
		n.flush()
	}
	require.Positive(t, store.Ledger().Refused)
	require.Positive(t, n.transfer.Stats().Evictions)
	require.Zero(t, store.Ledger().EarlyManifests)
	other := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
	imported, _ := other.run(t.Context(), prompt("returns", 4))
	require.Equal(t, 4*4096, imported)
	other.requireCleanLedger()
}

// Guards against imports over a link that is slower than recomputation.
func TestSlowLinkRecomputes(t *testing.T) {
	store, s := startStore(t, "kept-1", standin.KeptCacheOptions{})
	first := startNode(t, transfer.Options{Stores: []transfer.Store{s}})
	first.run(t.Context(), prompt("log", 4))
	first.flush()
	require.Equal(t, 1, store.Ledger().Manifests)
	second := startNode(t, transfer.Options{Stores: []transfer.Store{s}, LinkRate: 700, PrefillRate: 100})
	imported, cached := second.run(t.Context(), prompt("log", 4))
	require.Zero(t, imported, "16 KiB at 700 B/s take longer than 2 KiB of prefill at 100 B/s")
	require.Zero(t, cached)
	require.InDelta(t, 700, second.transfer.FreeLinkRate(), 1)
}
