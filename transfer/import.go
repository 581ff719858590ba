package transfer

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/kvcache"
	"waxwingtide.example/waxwingtide/ring"
)

// maxParallelFetches is the maximum number of concurrent piece fetches of one import.
// Concurrent fetches hide the round trip of about 3 ms between failure domains.
const maxParallelFetches = 4

// storesReply is the transfer duty's reply to a storesRequest. It contains the stores
// to look up, in this order. Without stores the prompt is recomputed.
type storesReply struct{ stores []Store }

// importReply is the transfer duty's reply to an importRequest. It contains whether the
// import may start and the time limit for its fetches.
type importReply struct {
	accepted bool
	limit    time.Duration
}

// ImportPrefix imports the missing blocks of a prompt's prefix before a run, if the
// import is expected to be faster than recomputation and to finish before the context's
// deadline. It returns the imported bytes of KV cache and the number of blocks of the
// prompt that the engine cache is expected to contain. It returns no error, because
// every failure leads only to recomputation.
func (h *Handle) ImportPrefix(ctx context.Context, scope core.CacheScope, prompt string, class core.Class) (importedBytes, cachedBlocks int) {
	salt := scope.Salt()
	keys := core.BlockKeys(salt, prompt)
	if len(keys) == 0 {
		return 0, 0
	}
	epoch := h.cacheEpoch.Load()
	cached := h.cachedBlocks(ctx, keys)
	if cached == len(keys) {
		return 0, cached
	}
	reply := tryRequest(ctx, h.importRequests, func(reply *ring.Ring[storesReply]) message {
		return storesRequest{salt: salt, keys: keys, cachedBlocks: cached, reply: reply}
	})
	for _, store := range reply.stores {
		manifest, err := h.lookupManifest(ctx, store, salt, keys)
		if errs.Is(err, errs.Unavailable) {
			_ = h.messages.Send(ctx, storeFailed{store: store.ID})
			continue
		}
		if errs.Is(err, errs.Corrupt) {
			_ = h.messages.Send(ctx, invalidManifest{store: store, salt: salt, keys: keys})
			return 0, cached
		}
		if len(manifest.Pieces) < len(keys) {
			_ = h.messages.Send(ctx, manifestsMissing{store: store.ID, keys: keys[len(manifest.Pieces):]})
		}
		if len(manifest.Pieces) <= cached {
			return 0, cached
		}
		return h.importFromStore(ctx, importTask{store: store, salt: salt, keys: keys[:len(manifest.Pieces)], cacheEpoch: epoch, cachedBlocks: cached, class: class, missingPieces: manifest.Pieces[cached:]})
	}
	return 0, cached
}

// tryRequest sends a request to the transfer duty and waits for its reply. It returns
// the zero value if the ring is full or the context ends.
func tryRequest[T any](ctx context.Context, target *ring.Ring[message], newRequest func(*ring.Ring[T]) message) T {
	reply, err := ring.TryRequest(ctx, target, newRequest)
	if err != nil {
		var zero T
		return zero
	}
	return reply
}

func (h *Handle) lookupManifest(ctx context.Context, store Store, salt string, keys []core.BlockKey) (cachestore.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.LookupTimeout)
	defer cancel()
	return store.Client.LookupManifest(ctx, salt, prefixKeysLongestFirst(keys))
}

// prefixKeysLongestFirst returns the texts of the keys in reverse order. Each key
// identifies the prefix that ends with it.
func prefixKeysLongestFirst(keys []core.BlockKey) []string {
	texts := make([]string, 0, len(keys))
	for _, key := range slices.Backward(keys) {
		texts = append(texts, key.String())
	}
	return texts
}

type importTask struct {
	store         Store
	salt          string
	keys          []core.BlockKey // of the complete stored prefix
	cacheEpoch    uint64          // of the engine cache when cachedBlocks was looked up
	cachedBlocks  int
	class         core.Class
	missingPieces []cachestore.Piece // those after the cached blocks
}

func (task importTask) totalBytes() int {
	total := 0
	for _, piece := range task.missingPieces {
		total += piece.Bytes
	}
	return total
}

func (h *Handle) importFromStore(ctx context.Context, task importTask) (importedBytes, cachedBlocks int) {
	maxTime := defaultTimeLeft
	if deadline, ok := ctx.Deadline(); ok {
		maxTime = deadline.Sub(h.opts.Now())
	}
	reply := tryRequest(ctx, h.importRequests, func(r *ring.Ring[importReply]) message { return importRequest{task: task, timeLeft: maxTime, reply: r} })
	if !reply.accepted {
		return 0, task.cachedBlocks
	}
	outcome := h.fetchAndCommit(ctx, task, reply.limit)
	// The duty has reserved the link for this import and must receive the outcome to
	// release it, even if the context of the run has ended.
	_ = h.messages.Send(context.WithoutCancel(ctx), importDone{task: task, outcome: outcome})
	if outcome.committedPieces > 0 {
		confirmedKeys := task.keys[:task.cachedBlocks+outcome.committedPieces]
		_ = h.indexRequests.Send(ctx, indexRequest{keys: confirmedKeys, confirm: true, cacheEpoch: task.cacheEpoch})
	}
	return outcome.committedBytes, task.cachedBlocks + outcome.committedPieces
}

// importOutcome is the result of an import. failureKind is the kind of the first fetch
// error, or 0 without one. timedOut reports whether the context of the fetches had
// ended at that error.
type importOutcome struct {
	committedPieces int
	committedBytes  int
	fetchedBytes    int
	elapsed         time.Duration
	failureKind     errs.Kind
	timedOut        bool
}

type fetchResult struct {
	piece int
	data  []byte
	err   error
}

// fetchAndCommit runs one import. After the limit no more pieces are fetched, but the
// prefix verified by then is committed.
func (h *Handle) fetchAndCommit(ctx context.Context, task importTask, limit time.Duration) (outcome importOutcome) {
	fetchCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := h.opts.Now()
	blocks := make([]engine.Block, len(task.missingPieces))
	state := kvcache.NewImportState(len(task.missingPieces), maxParallelFetches)
	results := ring.New[fetchResult](maxParallelFetches)
	var group conc.WaitGroup
	defer group.Wait()
	for {
		step, i := state.Next()
		switch step {
		case kvcache.StepTransferPiece:
			group.Go(func() {
				data, err := task.store.Client.FetchPiece(fetchCtx, task.salt, task.missingPieces[i])
				results.Offer(fetchResult{piece: i, data: data, err: err})
			})
		case kvcache.StepWait:
			// Every fetch ends with its context at the latest and then sends its
			// result.
			result, _ := results.Receive(context.WithoutCancel(ctx))
			state.RecordPiece(result.piece, result.err == nil)
			blocks[result.piece] = engine.Block{Key: task.missingPieces[result.piece].Key, Data: result.data}
			outcome.fetchedBytes += len(result.data)
			outcome.elapsed = h.opts.Now().Sub(started)
			if result.err != nil && outcome.failureKind == 0 {
				outcome.failureKind, outcome.timedOut = errs.KindOf(result.err), fetchCtx.Err() != nil
			}
		case kvcache.StepCommit:
			verified := blocks[:state.VerifiedPieces()]
			err := h.opts.Engine.Import(ctx, engine.ImportRequest{Salt: task.salt, Blocks: verified})
			state.RecordCommit(err == nil)
			for _, block := range verified[:state.CommittedPieces()] {
				outcome.committedBytes += len(block.Data)
			}
		case kvcache.StepDone:
			outcome.committedPieces = state.CommittedPieces()
			return outcome
		}
	}
}
