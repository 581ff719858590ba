package transfer

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/kvcache"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// exportBatch is how many blocks are read from the engine at once.
	exportBatch = 16
	// exportCallLimit bounds one call of an export.
	exportCallLimit = 30 * time.Second
	// maxShareWait bounds the wait between two requests for a share, because an
	// import may end earlier than estimated.
	maxShareWait = 200 * time.Millisecond
)

// job is the work of the exporter: an export, or the removal of a prefix.
type job struct {
	store     Store
	candidate kvcache.Candidate
	remove    bool
	// manifests and pieces are what a removal deletes, manifests first.
	manifests []core.BlockKey
	pieces    []core.BlockKey
	// forget says that the store may have lost pieces written earlier; again
	// says that this prefix was kept there before.
	forget bool
	again  bool
}

type pieceID struct {
	store string
	key   core.BlockKey
}

// exporter carries out one job at a time and paces it to the background share
// of the link.
type exporter struct {
	t *Transfer
	// known holds pieces that this agent has written or seen in a manifest.
	known *lru.Cache[pieceID, cachestore.Piece]
}

func newExporter(t *Transfer) *exporter {
	known, err := lru.New[pieceID, cachestore.Piece](historyBlocks)
	if err != nil {
		panic(err) // only a size below one is refused
	}
	return &exporter{t: t, known: known}
}

func (e *exporter) run(ctx context.Context) error {
	for {
		j, err := e.t.jobs.Receive(ctx)
		if err != nil {
			return err
		}
		done := jobDone{job: j}
		if j.forget {
			e.forget(j.store.ID)
		}
		if j.remove {
			e.remove(ctx, j)
		} else {
			done.bytes, done.err = e.export(ctx, j)
		}
		if err := e.t.results.Send(ctx, done); err != nil {
			return err
		}
	}
}

func (e *exporter) forget(store string) {
	for _, id := range e.known.Keys() {
		if id.store == store {
			e.known.Remove(id)
		}
	}
}

// export writes the missing pieces and then the manifest. It returns the bytes
// of the pieces written.
func (e *exporter) export(ctx context.Context, j job) (moved int, err error) {
	if e.isKept(ctx, j) {
		return 0, nil
	}
	keys := j.candidate.Keys
	manifest := cachestore.Manifest{Scope: j.candidate.Salt}
	machine := kvcache.NewExport(len(keys))
	var batch map[string][]byte
	for {
		step, i := machine.Next()
		switch step {
		case kvcache.MovePiece:
			var piece cachestore.Piece
			var n int
			if batch[keys[i].String()] == nil {
				batch, err = e.read(ctx, j, keys[i:min(i+exportBatch, len(keys))])
			}
			if err == nil {
				piece, n, err = e.write(ctx, j, keys[i], batch[keys[i].String()])
			}
			machine.Moved(err == nil)
			manifest.Pieces = append(manifest.Pieces, piece)
			moved += n
		case kvcache.Commit:
			callCtx, cancel := context.WithTimeout(ctx, exportCallLimit)
			err = j.store.Client.PutManifest(callCtx, manifest)
			cancel()
			machine.Committed(err == nil)
		default:
			return moved, err
		}
	}
}

// isKept reports whether the store has the manifest already, for example from
// another agent, and learns the pieces of the longest prefix kept.
func (e *exporter) isKept(ctx context.Context, j job) bool {
	m, err := e.t.find(ctx, j.store, j.candidate.Salt, j.candidate.Keys)
	if err == nil && len(m.Pieces) == len(j.candidate.Keys) {
		return true
	}
	for _, key := range j.candidate.Keys {
		if j.again {
			e.known.Remove(pieceID{j.store.ID, key})
		}
	}
	for i, piece := range m.Pieces {
		e.known.Add(pieceID{j.store.ID, j.candidate.Keys[i]}, piece)
	}
	return false
}

// read gets the content of the blocks that the store does not have.
func (e *exporter) read(ctx context.Context, j job, keys []core.BlockKey) (map[string][]byte, error) {
	var missing []string
	for _, key := range keys {
		if !e.known.Contains(pieceID{j.store.ID, key}) {
			missing = append(missing, key.String())
		}
	}
	if len(missing) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, exportCallLimit)
	defer cancel()
	blocks, err := e.t.o.Engine.Export(ctx, engine.ExportRequest{Salt: j.candidate.Salt, Keys: missing})
	if err != nil {
		return nil, errs.Wrap(err, errs.NotFound, "recompute the prompt", "engine does not export its blocks")
	}
	batch := make(map[string][]byte, len(blocks))
	for _, block := range blocks {
		batch[block.Key] = block.Data
	}
	return batch, nil
}

func (e *exporter) write(ctx context.Context, j job, key core.BlockKey, data []byte) (cachestore.Piece, int, error) {
	id := pieceID{j.store.ID, key}
	if piece, ok := e.known.Get(id); ok {
		return piece, 0, nil
	}
	if data == nil {
		return cachestore.Piece{}, 0, errs.New(errs.NotFound, "recompute the prompt", "engine no longer holds block %s", key)
	}
	if err := e.waitForShare(ctx, len(data)); err != nil {
		return cachestore.Piece{}, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, exportCallLimit)
	defer cancel()
	started := e.t.o.Now()
	piece, err := j.store.Client.PutPiece(ctx, j.candidate.Salt, key.String(), data)
	if err != nil {
		return piece, 0, err
	}
	e.known.Add(id, piece)
	return piece, len(data), e.t.results.Send(ctx, moved{bytes: len(data), elapsed: e.t.o.Now().Sub(started)})
}

// waitForShare waits until the budget lets a background transfer start.
func (e *exporter) waitForShare(ctx context.Context, bytes int) error {
	for {
		reply := ring.New[time.Duration](1)
		if err := e.t.results.Send(ctx, shareRequest{bytes: bytes, reply: reply}); err != nil {
			return err
		}
		wait, err := reply.Receive(ctx)
		if err != nil || wait == 0 {
			return err
		}
		timer := time.NewTimer(min(wait, maxShareWait))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// remove deletes manifests before pieces, so that no lookup finds a prefix
// whose pieces are gone. What cannot be deleted fails at its next import.
func (e *exporter) remove(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, exportCallLimit)
	defer cancel()
	for _, key := range j.manifests {
		if j.store.Client.DeleteManifest(ctx, j.candidate.Salt, key.String()) != nil {
			return
		}
	}
	for _, key := range j.pieces {
		e.known.Remove(pieceID{j.store.ID, key})
		if j.store.Client.DeletePiece(ctx, j.candidate.Salt, key.String()) != nil {
			return
		}
	}
}
