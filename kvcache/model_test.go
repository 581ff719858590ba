package kvcache_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/kvcache"
)

// The state machine of this file follows spec/block.pml with the Go decisions
// in place of the specification's. Prompts have two blocks, so that an import
// can end after the first. The three scopes have equal prompts and differ in
// workspace or weight version.

const blocksOfPrompt = 2

// block is what an engine slot or a stored piece holds: the text of a scope.
type block struct {
	scope int
	whole bool
	pins  int
}

// blockJob is an export or an import of one scope's prompt.
type blockJob struct {
	scope  int
	keys   []core.BlockKey
	export *kvcache.Export
	into   *kvcache.Import
	// read is the export's copy of the engine's blocks, fetched what the import
	// has read, and moving the pieces that it waits for.
	read, fetched map[core.BlockKey]block
	moving        []int
}

type blockModel struct {
	prompts   [][]core.BlockKey
	engine    map[core.BlockKey]*block
	pieces    map[core.BlockKey]block
	manifests map[core.BlockKey][]core.BlockKey
	kept      *kvcache.Retention
	pins      kvcache.Pins
	jobs      []*blockJob
}

func (m *blockModel) prompt(t *rapid.T) (scope int, keys []core.BlockKey) {
	scope = rapid.IntRange(0, len(m.prompts)-1).Draw(t, "scope")
	return scope, m.prompts[scope]
}

func last(keys []core.BlockKey) core.BlockKey { return keys[len(keys)-1] }

func (m *blockModel) compute(t *rapid.T) {
	scope, keys := m.prompt(t)
	for _, key := range keys {
		if m.engine[key] == nil {
			m.engine[key] = &block{scope: scope, whole: true}
		}
	}
}

// check is a run in each scope: the engine finds blocks by key only.
func (m *blockModel) check(t *rapid.T) {
	for scope, keys := range m.prompts {
		for _, key := range keys {
			if b := m.engine[key]; b != nil {
				require.True(t, b.whole, "a run uses a block that is not whole")
				require.Equal(t, scope, b.scope, "a run uses a block of another scope")
			}
		}
	}
}

func (m *blockModel) free(t *rapid.T) {
	_, keys := m.prompt(t)
	for _, key := range keys {
		if b := m.engine[key]; b != nil && b.pins == 0 {
			delete(m.engine, key)
		}
	}
}

func (m *blockModel) beginExport(t *rapid.T) {
	scope, keys := m.prompt(t)
	job := &blockJob{scope: scope, keys: keys, export: kvcache.NewExport(len(keys)), read: make(map[core.BlockKey]block)}
	for _, key := range keys {
		if m.engine[key] == nil {
			t.Skip("the engine lacks a block")
		}
	}
	for _, key := range keys {
		job.read[key] = *m.engine[key]
		m.engine[key].pins++
	}
	m.jobs = append(m.jobs, job)
}

func (m *blockModel) beginImport(t *rapid.T) {
	scope, keys := m.prompt(t)
	if m.manifests[last(keys)] == nil {
		t.Skip("no manifest")
	}
	m.pins.Pin(last(keys))
	m.jobs = append(m.jobs, &blockJob{scope: scope, keys: keys, into: kvcache.NewImport(len(keys), 2), fetched: make(map[core.BlockKey]block)})
}

func (m *blockModel) step(t *rapid.T) {
	if len(m.jobs) == 0 {
		t.Skip("no job")
	}
	i := rapid.IntRange(0, len(m.jobs)-1).Draw(t, "job")
	job := m.jobs[i]
	done := false
	if job.export != nil {
		done = m.stepExport(t, job)
	} else {
		done = m.stepImport(t, job)
	}
	if done {
		m.jobs = append(m.jobs[:i:i], m.jobs[i+1:]...)
	}
}

func (m *blockModel) stepExport(t *rapid.T, job *blockJob) (done bool) {
	step, piece := job.export.Next()
	switch step {
	case kvcache.MovePiece:
		ok := rapid.Bool().Draw(t, "written")
		if ok {
			m.pieces[job.keys[piece]] = job.read[job.keys[piece]]
		}
		job.export.Moved(ok)
	case kvcache.Commit:
		m.manifests[last(job.keys)] = job.keys
		m.kept.Add(kvcache.Candidate{Keys: job.keys, SavedBytes: 1, MovedBytes: 1}, now, m.pins)
		job.export.Committed(true)
		require.True(t, job.export.Written())
	default:
		for _, key := range job.keys {
			m.engine[key].pins--
		}
		return true
	}
	return false
}

func (m *blockModel) stepImport(t *rapid.T, job *blockJob) (done bool) {
	if len(job.moving) > 0 && rapid.Bool().Draw(t, "arrives") {
		m.arrive(job, rapid.IntRange(0, len(job.moving)-1).Draw(t, "piece"))
		return false
	}
	step, piece := job.into.Next()
	switch step {
	case kvcache.MovePiece:
		job.moving = append(job.moving, piece)
	case kvcache.Commit:
		for _, key := range job.keys[:job.into.Verified()] {
			if m.engine[key] == nil {
				m.engine[key] = &block{scope: job.fetched[key].scope, whole: job.fetched[key].whole}
			}
		}
		job.into.Committed(true)
	case kvcache.Done:
		m.pins.Unpin(last(job.keys))
		return true
	}
	return false
}

// arrive ends the transfer of a piece; its checksum tells a damaged one.
func (m *blockModel) arrive(job *blockJob, i int) {
	piece := job.moving[i]
	job.moving = append(job.moving[:i:i], job.moving[i+1:]...)
	stored, ok := m.pieces[job.keys[piece]]
	job.fetched[job.keys[piece]] = stored
	job.into.Moved(piece, ok && stored.whole)
}

// makeRoom drops a kept prefix, as when the store is full.
func (m *blockModel) makeRoom(t *rapid.T) {
	dropped, ok := m.kept.DropLowest(now, m.pins)
	if !ok {
		t.Skip("nothing to drop")
	}
	for _, job := range m.jobs {
		imported := job.into != nil && last(job.keys) == dropped.Last()
		require.False(t, imported, "a prefix is dropped while it is imported")
	}
	delete(m.manifests, dropped.Last())
	for _, key := range m.kept.Unused(dropped) {
		delete(m.pieces, key)
	}
}

func (m *blockModel) storeFault(t *rapid.T) {
	_, keys := m.prompt(t)
	key := rapid.SampledFrom(keys).Draw(t, "piece")
	stored, ok := m.pieces[key]
	switch {
	case rapid.Bool().Draw(t, "manifest lost"):
		delete(m.manifests, last(keys))
	case ok && rapid.Bool().Draw(t, "damaged"):
		stored.whole = false
		m.pieces[key] = stored
	default:
		delete(m.pieces, key)
	}
}

// Guards against code that departs from spec/block.pml: a run that uses a
// block that is not whole, or one of another workspace or weight version.
func TestBlocksFollowSpecification(t *testing.T) {
	text := strings.Repeat("x", blocksOfPrompt*core.BlockBytes)
	rapid.Check(t, func(t *rapid.T) {
		m := &blockModel{
			engine: make(map[core.BlockKey]*block), pieces: make(map[core.BlockKey]block),
			manifests: make(map[core.BlockKey][]core.BlockKey), pins: make(kvcache.Pins),
			kept: kvcache.NewRetention(8, kvcache.NewHistory(8)),
		}
		for _, scope := range []core.CacheScope{{Workspace: "w1", Version: "v1"}, {Workspace: "w2", Version: "v1"}, {Workspace: "w1", Version: "v2"}} {
			m.prompts = append(m.prompts, core.BlockKeys(scope.Salt(), text))
		}
		t.Repeat(map[string]func(*rapid.T){
			"compute": m.compute, "free": m.free, "export": m.beginExport, "import": m.beginImport,
			"step": m.step, "step 2": m.step, "step 3": m.step, "step 4": m.step,
			"make room": m.makeRoom, "store fault": m.storeFault, "": m.check,
		})
	})
}
