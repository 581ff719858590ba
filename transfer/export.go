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
	// exportBatchBlocks is the maximum number of blocks per export request to the
	// engine.
	exportBatchBlocks = 16
	// exporterTimeout is the maximum time for one request of an export, or for all
	// requests of a removal together.
	exporterTimeout = 30 * time.Second
	// maxLinkWait limits the wait before the exporter requests the link again, because
	// an import may finish earlier than estimated.
	maxLinkWait = 200 * time.Millisecond
)

// job is a job of the exporter: the export of a prefix, or a removal.
type job struct {
	store   Store
	prefix  kvcache.Prefix
	removal bool
	// manifests and pieces are the keys that a removal deletes, manifests first.
	manifests []core.BlockKey
	pieces    []core.BlockKey
	// piecesMayBeLost means that the store may have lost pieces written earlier.
	// alreadyExported means that the prefix was exported before, and that the export
	// checks whether the store still has it.
	piecesMayBeLost bool
	alreadyExported bool
}

type pieceID struct {
	store string
	key   core.BlockKey
}

// exporter runs one job at a time and limits its rate to the background share of the
// link.
type exporter struct {
	handle *Handle
	// pieceRecords contains the pieces that this agent has written or has found in a
	// manifest.
	pieceRecords *lru.Cache[pieceID, cachestore.Piece]
}

func newExporter(h *Handle) *exporter {
	pieceRecords, err := lru.New[pieceID, cachestore.Piece](maxKeyRecords)
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	return &exporter{handle: h, pieceRecords: pieceRecords}
}

func (e *exporter) run(ctx context.Context) error {
	for {
		j, err := e.handle.jobs.Receive(ctx)
		if err != nil {
			return err
		}
		done := jobDone{job: j}
		if j.piecesMayBeLost {
			e.clearPieceRecords(j.store.ID)
		}
		if j.removal {
			e.runRemoval(ctx, j)
		} else {
			done.bytes, done.err = e.exportPrefix(ctx, j)
		}
		if err := e.handle.messages.Send(ctx, done); err != nil {
			return err
		}
	}
}

// clearPieceRecords removes the records of all pieces in a store. The pieces remain.
func (e *exporter) clearPieceRecords(store string) {
	for _, id := range e.pieceRecords.Keys() {
		if id.store == store {
			e.pieceRecords.Remove(id)
		}
	}
}

// exportPrefix writes the missing pieces and then the manifest. It returns the total
// size of the pieces written.
func (e *exporter) exportPrefix(ctx context.Context, j job) (writtenBytes int, err error) {
	if e.checkStoredPrefix(ctx, j) {
		return 0, nil
	}
	keys := j.prefix.Keys
	// Stores identify a scope by its salt.
	manifest := cachestore.Manifest{Scope: j.prefix.Salt}
	state := kvcache.NewExportState(len(keys))
	var batch map[string][]byte
	for {
		step, i := state.Next()
		switch step {
		case kvcache.StepTransferPiece:
			var piece cachestore.Piece
			var pieceBytes int
			if batch[keys[i].String()] == nil {
				batch, err = e.readBlocks(ctx, j, keys[i:min(i+exportBatchBlocks, len(keys))])
			}
			if err == nil {
				piece, pieceBytes, err = e.writePiece(ctx, j, keys[i], batch[keys[i].String()])
			}
			state.RecordPiece(err == nil)
			manifest.Pieces = append(manifest.Pieces, piece)
			writtenBytes += pieceBytes
		case kvcache.StepCommit:
			requestCtx, cancel := context.WithTimeout(ctx, exporterTimeout)
			err = j.store.Client.PutManifest(requestCtx, manifest)
			cancel()
			state.RecordManifest(err == nil)
		default:
			return writtenBytes, err
		}
	}
}

// checkStoredPrefix reports whether the store already has the complete prefix, for
// example from another agent. If not, it records the pieces in the manifest that the
// lookup returns, which is empty if the store has none, does not respond or returns an
// invalid one. For a prefix exported before, it first clears the records of the job's
// pieces, because they may be outdated.
func (e *exporter) checkStoredPrefix(ctx context.Context, j job) bool {
	manifest, err := e.handle.lookupManifest(ctx, j.store, j.prefix.Salt, j.prefix.Keys)
	if err == nil && len(manifest.Pieces) == len(j.prefix.Keys) {
		return true
	}
	for _, key := range j.prefix.Keys {
		if j.alreadyExported {
			e.pieceRecords.Remove(pieceID{j.store.ID, key})
		}
	}
	for i, piece := range manifest.Pieces {
		e.pieceRecords.Add(pieceID{j.store.ID, j.prefix.Keys[i]}, piece)
	}
	return false
}

// readBlocks reads from the engine the blocks that have no piece record for the store.
// It returns their content by key.
func (e *exporter) readBlocks(ctx context.Context, j job, keys []core.BlockKey) (map[string][]byte, error) {
	var missing []string
	for _, key := range keys {
		if !e.pieceRecords.Contains(pieceID{j.store.ID, key}) {
			missing = append(missing, key.String())
		}
	}
	if len(missing) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, exporterTimeout)
	defer cancel()
	blocks, err := e.handle.opts.Engine.Export(ctx, engine.ExportRequest{Salt: j.prefix.Salt, Keys: missing})
	if err != nil {
		return nil, errs.Wrap(err, errs.NotFound, "recompute the prompt", "engine failed to export the blocks")
	}
	batch := make(map[string][]byte, len(blocks))
	for _, block := range blocks {
		batch[block.Key] = block.Data
	}
	return batch, nil
}

func (e *exporter) writePiece(ctx context.Context, j job, key core.BlockKey, data []byte) (cachestore.Piece, int, error) {
	id := pieceID{j.store.ID, key}
	if piece, ok := e.pieceRecords.Get(id); ok {
		return piece, 0, nil
	}
	if data == nil {
		return cachestore.Piece{}, 0, errs.New(errs.NotFound, "recompute the prompt", "block %s is no longer in the engine cache", key)
	}
	if err := e.reserveLink(ctx, len(data)); err != nil {
		return cachestore.Piece{}, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, exporterTimeout)
	defer cancel()
	started := e.handle.opts.Now()
	piece, err := j.store.Client.PutPiece(ctx, j.prefix.Salt, key.String(), data)
	if err != nil {
		return piece, 0, err
	}
	e.pieceRecords.Add(id, piece)
	return piece, len(data), e.handle.messages.Send(ctx, pieceWritten{bytes: len(data), elapsed: e.handle.opts.Now().Sub(started)})
}

// reserveLink waits until the link budget admits a background transfer.
func (e *exporter) reserveLink(ctx context.Context, bytes int) error {
	for {
		reply := ring.New[time.Duration](1)
		if err := e.handle.messages.Send(ctx, linkRequest{bytes: bytes, reply: reply}); err != nil {
			return err
		}
		wait, err := reply.Receive(ctx)
		if err != nil || wait == 0 {
			return err
		}
		timer := time.NewTimer(min(wait, maxLinkWait))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// runRemoval deletes manifests before pieces, and stops at the first failure, so that
// no manifest of the job refers to a deleted piece. If an invalid manifest is not
// deleted, the next import of its prefix fails and queues the removal again.
func (e *exporter) runRemoval(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, exporterTimeout)
	defer cancel()
	for _, key := range j.manifests {
		if j.store.Client.DeleteManifest(ctx, j.prefix.Salt, key.String()) != nil {
			return
		}
	}
	for _, key := range j.pieces {
		e.pieceRecords.Remove(pieceID{j.store.ID, key})
		if j.store.Client.DeletePiece(ctx, j.prefix.Salt, key.String()) != nil {
			return
		}
	}
}
