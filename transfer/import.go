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

// fetchWidth is how many pieces of one import are fetched at once. It hides the
// round trip of about 3 ms between failure domains.
const fetchWidth = 4

// plan is the transfer duty's answer to a prompt: the live stores in the order
// in which they are asked. None means that the prompt is recomputed.
type plan struct{ stores []Store }

// decision says whether an import may start and how long it may take.
type decision struct {
	accepted bool
	limit    time.Duration
}

// Prepare imports the missing part of a prompt's prefix before a run, if that
// is expected to be faster than recomputing it and to end before the context's
// deadline. It returns the bytes of KV cache imported and how many blocks of
// the prompt the engine is believed to hold. Every failure only costs
// recomputation, so there is no error.
func (t *Transfer) Prepare(ctx context.Context, scope core.CacheScope, prompt string, class core.Class) (importedBytes, cachedBlocks int) {
	salt := scope.Salt()
	keys := core.BlockKeys(salt, prompt)
	if len(keys) == 0 {
		return 0, 0
	}
	epoch := t.epoch.Load()
	present := t.cached(ctx, keys)
	if present == len(keys) {
		return 0, present
	}
	p := ask(ctx, t.imports, func(reply *ring.Ring[plan]) message {
		return planRequest{salt: salt, keys: keys, present: present, reply: reply}
	})
	for _, store := range p.stores {
		m, err := t.find(ctx, store, salt, keys)
		if errs.Is(err, errs.Unavailable) {
			_ = t.results.Send(ctx, storeDown{store: store.ID})
			continue
		}
		if errs.Is(err, errs.Corrupt) {
			_ = t.results.Send(ctx, badManifest{store: store, salt: salt, keys: keys})
			return 0, present
		}
		if len(m.Pieces) < len(keys) {
			_ = t.results.Send(ctx, notKept{store: store.ID, keys: keys[len(m.Pieces):]})
		}
		if len(m.Pieces) <= present {
			return 0, present
		}
		return t.importFrom(ctx, importTask{store: store, salt: salt, keys: keys[:len(m.Pieces)], epoch: epoch, present: present, class: class, pieces: m.Pieces[present:]})
	}
	return 0, present
}

// ask sends a request to the transfer duty and waits for its answer. A full
// ring refuses and gives the zero answer.
func ask[T any](ctx context.Context, to *ring.Ring[message], request func(*ring.Ring[T]) message) T {
	answer, err := ring.TryRequest(ctx, to, request)
	if err != nil {
		var zero T
		return zero
	}
	return answer
}

func (t *Transfer) find(ctx context.Context, store Store, salt string, keys []core.BlockKey) (cachestore.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, t.o.LookupLimit)
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
	store   Store
	salt    string
	keys    []core.BlockKey // of the whole kept prefix
	epoch   uint64          // of the engine's cache when present was looked up
	present int
	class   core.Class
	pieces  []cachestore.Piece // those after the present blocks
}

func (k importTask) bytes() int {
	total := 0
	for _, piece := range k.pieces {
		total += piece.Bytes
	}
	return total
}

func (t *Transfer) importFrom(ctx context.Context, task importTask) (importedBytes, cachedBlocks int) {
	left := defaultLeft
	if deadline, ok := ctx.Deadline(); ok {
		left = deadline.Sub(t.o.Now())
	}
	d := ask(ctx, t.imports, func(reply *ring.Ring[decision]) message { return importRequest{task: task, left: left, reply: reply} })
	if !d.accepted {
		return 0, task.present
	}
	outcome := t.fetchAndCommit(ctx, task, d.limit)
	// The duty has reserved the link for this import and must learn of its end
	// even when the run's context has ended.
	_ = t.results.Send(context.WithoutCancel(ctx), importDone{task: task, outcome: outcome})
	if outcome.committed > 0 {
		held := task.keys[:task.present+outcome.committed]
		_ = t.lookups.Send(ctx, lookup{keys: held, confirm: true, epoch: task.epoch})
	}
	return outcome.committedBytes, task.present + outcome.committed
}

// importOutcome is what an import achieved. The kind of the first error is 0 if
// there was none.
type importOutcome struct {
	committed      int
	committedBytes int
	movedBytes     int
	elapsed        time.Duration
	failure        errs.Kind
	late           bool
}

type fetched struct {
	piece int
	data  []byte
	err   error
}

// fetchAndCommit drives one import. The limit bounds fetching; what is verified
// by then is committed.
func (t *Transfer) fetchAndCommit(ctx context.Context, task importTask, limit time.Duration) (o importOutcome) {
	fetchCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := t.o.Now()
	blocks := make([]engine.Block, len(task.pieces))
	machine := kvcache.NewImport(len(task.pieces), fetchWidth)
	results := ring.New[fetched](fetchWidth)
	var group conc.WaitGroup
	defer group.Wait()
	for {
		step, i := machine.Next()
		switch step {
		case kvcache.MovePiece:
			group.Go(func() {
				data, err := task.store.Client.FetchPiece(fetchCtx, task.salt, task.pieces[i])
				results.Offer(fetched{piece: i, data: data, err: err})
			})
		case kvcache.Wait:
			// Every fetch ends with its context and then reports.
			r, _ := results.Receive(context.WithoutCancel(ctx))
			machine.Moved(r.piece, r.err == nil)
			blocks[r.piece] = engine.Block{Key: task.pieces[r.piece].Key, Data: r.data}
			o.movedBytes += len(r.data)
			o.elapsed = t.o.Now().Sub(started)
			if r.err != nil && o.failure == 0 {
				o.failure, o.late = errs.KindOf(r.err), fetchCtx.Err() != nil
			}
		case kvcache.Commit:
			verified := blocks[:machine.Verified()]
			err := t.o.Engine.Import(ctx, engine.ImportRequest{Salt: task.salt, Blocks: verified})
			machine.Committed(err == nil)
			for _, block := range verified[:machine.Result()] {
				o.committedBytes += len(block.Data)
			}
		case kvcache.Done:
			o.committed = machine.Result()
			return o
		}
	}
}
