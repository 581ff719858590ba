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

// importPlan is the transfer duty's reply to a planRequest. It contains the available
// stores in the order of lookup. Without stores the prompt is recomputed.
type importPlan struct{ stores []Store }

// decision is the transfer duty's reply to an importRequest. It contains whether the
// import may start and the time limit for its fetches.
type decision struct {
	accepted bool
	limit    time.Duration
}

// Prepare imports the missing blocks of a prompt's prefix before a run, if the import
// is expected to be faster than recomputation and to finish before the context's
// deadline. It returns the imported bytes of KV cache and the number of blocks of the
// prompt that the engine cache is expected to contain. It returns no error, because
// every failure leads only to recomputation.
func (t *Transfer) Prepare(ctx context.Context, scope core.CacheScope, prompt string, class core.Class) (importedBytes, cachedBlocks int) {
	salt := scope.Salt()
	keys := core.BlockKeys(salt, prompt)
	if len(keys) == 0 {
		return 0, 0
	}
	epoch := t.cacheEpoch.Load()
	cached := t.cachedBlocks(ctx, keys)
	if cached == len(keys) {
		return 0, cached
	}
	plan := tryRequest(ctx, t.importRequests, func(reply *ring.Ring[importPlan]) message {
		return planRequest{salt: salt, keys: keys, cachedBlocks: cached, reply: reply}
	})
	for _, store := range plan.stores {
		manifest, err := t.lookupManifest(ctx, store, salt, keys)
		if errs.Is(err, errs.Unavailable) {
			_ = t.messages.Send(ctx, storeFailed{store: store.ID})
			continue
		}
		if errs.Is(err, errs.Corrupt) {
			_ = t.messages.Send(ctx, invalidManifest{store: store, salt: salt, keys: keys})
			return 0, cached
		}
		if len(manifest.Pieces) < len(keys) {
			_ = t.messages.Send(ctx, manifestsMissing{store: store.ID, keys: keys[len(manifest.Pieces):]})
		}
		if len(manifest.Pieces) <= cached {
			return 0, cached
		}
		return t.importFrom(ctx, importTask{store: store, salt: salt, keys: keys[:len(manifest.Pieces)], cacheEpoch: epoch, cachedBlocks: cached, class: class, missingPieces: manifest.Pieces[cached:]})
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

func (t *Transfer) lookupManifest(ctx context.Context, store Store, salt string, keys []core.BlockKey) (cachestore.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.LookupTimeout)
	defer cancel()
	return store.Client.LookupManifest(ctx, salt, longestFirst(keys))
}

func longestFirst(keys []core.BlockKey) []string {
	names := make([]string, 0, len(keys))
	for _, key := range slices.Backward(keys) {
		names = append(names, key.String())
	}
	return names
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

func (t *Transfer) importFrom(ctx context.Context, task importTask) (importedBytes, cachedBlocks int) {
	timeLeft := defaultTimeLeft
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft = deadline.Sub(t.opts.Now())
	}
	importDecision := tryRequest(ctx, t.importRequests, func(r *ring.Ring[decision]) message { return importRequest{task: task, timeLeft: timeLeft, reply: r} })
	if !importDecision.accepted {
		return 0, task.cachedBlocks
	}
	outcome := t.fetchAndCommit(ctx, task, importDecision.limit)
	// The duty has reserved the link for this import and must receive the outcome to
	// release it, even if the context of the run has ended.
	_ = t.messages.Send(context.WithoutCancel(ctx), importDone{task: task, outcome: outcome})
	if outcome.committedPieces > 0 {
		confirmedKeys := task.keys[:task.cachedBlocks+outcome.committedPieces]
		_ = t.lookups.Send(ctx, lookup{keys: confirmedKeys, confirm: true, cacheEpoch: task.cacheEpoch})
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
func (t *Transfer) fetchAndCommit(ctx context.Context, task importTask, limit time.Duration) (outcome importOutcome) {
	fetchCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := t.opts.Now()
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
			outcome.elapsed = t.opts.Now().Sub(started)
			if result.err != nil && outcome.failureKind == 0 {
				outcome.failureKind, outcome.timedOut = errs.KindOf(result.err), fetchCtx.Err() != nil
			}
		case kvcache.StepCommit:
			verified := blocks[:state.VerifiedPieces()]
			err := t.opts.Engine.Import(ctx, engine.ImportRequest{Salt: task.salt, Blocks: verified})
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
