package kvcache_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/kvcache"
)

// This file repeats the state machine of spec/block.pml in Go. Package kvcache makes the
// decisions. Prompts have two blocks, so that an import can end after the
// first one. The three scopes have equal prompts and differ in workspace or weight
// version.

const blocksPerPrompt = 2

// block is the content of an engine cache slot or of a stored piece: a block of the
// prompt of one scope.
type block struct {
	scope  int
	intact bool
	pins   int
}

// blockJob is an export or an import of the prompt of one scope.
type blockJob struct {
	scope       int
	keys        []core.BlockKey
	exportState *kvcache.ExportState
	importState *kvcache.ImportState
	// exported is the export's copy of the engine's blocks. fetched contains the pieces
	// that the import has read. pendingPieces lists the fetches in progress.
	exported, fetched map[core.BlockKey]block
	pendingPieces     []int
}

type blockModel struct {
	prompts   [][]core.BlockKey
	engine    map[core.BlockKey]*block
	pieces    map[core.BlockKey]block
	manifests map[core.BlockKey][]core.BlockKey
	prefixes  *kvcache.PrefixSet
	pins      kvcache.Pins
	jobs      []*blockJob
}

func (m *blockModel) samplePrompt(t *rapid.T) (scope int, keys []core.BlockKey) {
	scope = rapid.IntRange(0, len(m.prompts)-1).Draw(t, "scope")
	return scope, m.prompts[scope]
}

func lastKey(keys []core.BlockKey) core.BlockKey { return keys[len(keys)-1] }

func (m *blockModel) compute(t *rapid.T) {
	scope, keys := m.samplePrompt(t)
	for _, key := range keys {
		if m.engine[key] == nil {
			m.engine[key] = &block{scope: scope, intact: true}
		}
	}
}

// checkEngineBlocks checks what a run in each scope would use. The engine finds blocks
// by key only.
func (m *blockModel) checkEngineBlocks(t *rapid.T) {
	for scope, keys := range m.prompts {
		for _, key := range keys {
			if b := m.engine[key]; b != nil {
				require.True(t, b.intact, "a run uses a damaged block")
				require.Equal(t, scope, b.scope, "a run uses a block of another scope")
			}
		}
	}
}

func (m *blockModel) freeBlocks(t *rapid.T) {
	_, keys := m.samplePrompt(t)
	for _, key := range keys {
		if b := m.engine[key]; b != nil && b.pins == 0 {
			delete(m.engine, key)
		}
	}
}

func (m *blockModel) startExport(t *rapid.T) {
	scope, keys := m.samplePrompt(t)
	job := &blockJob{scope: scope, keys: keys, exportState: kvcache.NewExportState(len(keys)), exported: make(map[core.BlockKey]block)}
	for _, key := range keys {
		if m.engine[key] == nil {
			t.Skip("a block is not in the engine cache")
		}
	}
	for _, key := range keys {
		job.exported[key] = *m.engine[key]
		m.engine[key].pins++
	}
	m.jobs = append(m.jobs, job)
}

func (m *blockModel) startImport(t *rapid.T) {
	scope, keys := m.samplePrompt(t)
	if m.manifests[lastKey(keys)] == nil {
		t.Skip("no manifest")
	}
	m.pins.Pin(lastKey(keys))
	m.jobs = append(m.jobs, &blockJob{scope: scope, keys: keys, importState: kvcache.NewImportState(len(keys), 2), fetched: make(map[core.BlockKey]block)})
}

func (m *blockModel) step(t *rapid.T) {
	if len(m.jobs) == 0 {
		t.Skip("no job")
	}
	i := rapid.IntRange(0, len(m.jobs)-1).Draw(t, "job")
	job := m.jobs[i]
	done := false
	if job.exportState != nil {
		done = m.stepExport(t, job)
	} else {
		done = m.stepImport(t, job)
	}
	if done {
		m.jobs = append(m.jobs[:i:i], m.jobs[i+1:]...)
	}
}

func (m *blockModel) stepExport(t *rapid.T, job *blockJob) (done bool) {
	step, piece := job.exportState.Next()
	switch step {
	case kvcache.StepTransferPiece:
		ok := rapid.Bool().Draw(t, "written")
		if ok {
			m.pieces[job.keys[piece]] = job.exported[job.keys[piece]]
		}
		job.exportState.RecordPiece(ok)
	case kvcache.StepCommit:
		m.manifests[lastKey(job.keys)] = job.keys
		m.prefixes.Add(kvcache.Prefix{Keys: job.keys, SavedPromptBytes: 1, TransferBytes: 1}, now, m.pins)
		job.exportState.RecordManifest(true)
		require.True(t, job.exportState.ManifestWritten())
	default:
		for _, key := range job.keys {
			m.engine[key].pins--
		}
		return true
	}
	return false
}

func (m *blockModel) stepImport(t *rapid.T, job *blockJob) (done bool) {
	if len(job.pendingPieces) > 0 && rapid.Bool().Draw(t, "arrives") {
		m.finishFetch(job, rapid.IntRange(0, len(job.pendingPieces)-1).Draw(t, "piece"))
		return false
	}
	step, piece := job.importState.Next()
	switch step {
	case kvcache.StepTransferPiece:
		job.pendingPieces = append(job.pendingPieces, piece)
	case kvcache.StepCommit:
		for _, key := range job.keys[:job.importState.VerifiedPieces()] {
			if m.engine[key] == nil {
				m.engine[key] = &block{scope: job.fetched[key].scope, intact: job.fetched[key].intact}
			}
		}
		job.importState.RecordCommit(true)
	case kvcache.StepDone:
		m.pins.Unpin(lastKey(job.keys))
		return true
	}
	return false
}

// finishFetch finishes the fetch of a piece. A missing or damaged piece counts as not
// verified.
func (m *blockModel) finishFetch(job *blockJob, i int) {
	piece := job.pendingPieces[i]
	job.pendingPieces = append(job.pendingPieces[:i:i], job.pendingPieces[i+1:]...)
	stored, ok := m.pieces[job.keys[piece]]
	job.fetched[job.keys[piece]] = stored
	job.importState.RecordPiece(piece, ok && stored.intact)
}

// evictPrefix evicts a stored prefix, as for a full store.
func (m *blockModel) evictPrefix(t *rapid.T) {
	evicted, ok := m.prefixes.EvictLowest(now, m.pins)
	if !ok {
		t.Skip("no prefix to evict")
	}
	for _, job := range m.jobs {
		importing := job.importState != nil && lastKey(job.keys) == evicted.LastKey()
		require.False(t, importing, "a prefix is evicted while it is imported")
	}
	delete(m.manifests, evicted.LastKey())
	for _, key := range m.prefixes.UnsharedKeys(evicted) {
		delete(m.pieces, key)
	}
}

func (m *blockModel) injectStoreFault(t *rapid.T) {
	_, keys := m.samplePrompt(t)
	key := rapid.SampledFrom(keys).Draw(t, "piece")
	stored, ok := m.pieces[key]
	switch {
	case rapid.Bool().Draw(t, "manifest lost"):
		delete(m.manifests, lastKey(keys))
	case ok && rapid.Bool().Draw(t, "damaged"):
		stored.intact = false
		m.pieces[key] = stored
	default:
		delete(m.pieces, key)
	}
}

// Guards against a departure from spec/block.pml in which a run uses a damaged block,
// or a block of another workspace or weight version.
func TestBlocksFollowSpecification(t *testing.T) {
	text := strings.Repeat("x", blocksPerPrompt*core.BlockBytes)
	rapid.Check(t, func(t *rapid.T) {
		m := &blockModel{
			engine: make(map[core.BlockKey]*block), pieces: make(map[core.BlockKey]block),
			manifests: make(map[core.BlockKey][]core.BlockKey), pins: make(kvcache.Pins),
			prefixes: kvcache.NewPrefixSet(8, kvcache.NewHistory(8)),
		}
		for _, scope := range []core.CacheScope{{Workspace: "w1", Version: "v1"}, {Workspace: "w2", Version: "v1"}, {Workspace: "w1", Version: "v2"}} {
			m.prompts = append(m.prompts, core.BlockKeys(scope.Salt(), text))
		}
		t.Repeat(map[string]func(*rapid.T){
			"compute": m.compute, "free": m.freeBlocks, "export": m.startExport, "import": m.startImport,
			"step": m.step, "step 2": m.step, "step 3": m.step, "step 4": m.step,
			"make room": m.evictPrefix, "store fault": m.injectStoreFault, "": m.checkEngineBlocks,
		})
	})
}
