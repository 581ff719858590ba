package canary

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// updateRingSize is the capacity of the ring of updates that wait to be written.
	// Further updates are dropped. The caller of PendingUpdates gets them again at
	// its next check.
	updateRingSize = 16
	// writeTimeout covers two reads and up to three further calls of the store.
	writeTimeout = 2 * time.Second
)

// Codec encodes a rollout status as the row that the operator reads, and decodes it.
type Codec interface {
	fleet.Decoder
	EncodeStatus(status catalog.RolloutStatus) (fleet.Row, error)
}

// StatusWriter is the duty that writes the status of rollouts for the operator.
// It replaces only the status that the update names, in the generation of the store's
// content in which it has read it. If two processes write concurrently, the write of one
// of them fails. Its controller returns the update again if newer inputs still require it.
type StatusWriter struct {
	store   fleet.Store
	codec   Codec
	updates *ring.Ring[StatusUpdate]
	log     logrus.FieldLogger
}

// NewStatusWriter returns a StatusWriter that has not started.
func NewStatusWriter(store fleet.Store, codec Codec, log logrus.FieldLogger) *StatusWriter {
	return &StatusWriter{store: store, codec: codec, updates: ring.New[StatusUpdate](updateRingSize), log: log}
}

// Enqueue queues an update to be written, or drops it when the ring is full.
func (w *StatusWriter) Enqueue(update StatusUpdate) { w.updates.Offer(update) }

// Run is the duty's loop.
func (w *StatusWriter) Run(ctx context.Context) error {
	for {
		update, err := w.updates.Receive(ctx)
		if err != nil {
			return nil
		}
		w.write(ctx, update)
	}
}

func (w *StatusWriter) write(ctx context.Context, update StatusUpdate) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	log := w.log.WithFields(logrus.Fields{
		"event": "rollout_told", "service": update.Service, "software": update.Version, "state": update.State, "replaces": update.Replaced.State,
	})
	if err := w.replace(ctx, update); err != nil {
		log.WithError(err).Warn("write of the rollout status was not confirmed")
		return
	}
	log.Info("rollout status written")
}

// replace writes the status if the store has the one that the update replaces. The error
// has the kind errs.Conflict if it has another one.
func (w *StatusWriter) replace(ctx context.Context, update StatusUpdate) error {
	row, err := w.codec.EncodeStatus(update.RolloutStatus)
	if err != nil {
		return err
	}
	mark, err := fleet.ReadGenerationMark(ctx, w.store)
	if err != nil {
		return err
	}
	page, err := w.store.Rows(ctx, row.Table)
	if err != nil {
		return err
	}
	current, version := w.currentStatus(page, row.Key)
	if page.Generation != mark.Generation || current != update.Replaced {
		return errs.New(errs.Conflict, "wait for the table", "the status was replaced or the metadata store was restored")
	}
	_, err = w.store.Commit(ctx, mark.Bind(fleet.Transaction{
		Conditions: []fleet.Row{{Table: row.Table, Key: row.Key, Version: version}},
		Puts:       []fleet.Row{row},
	}))
	return err
}

// currentStatus returns the status in the row with the given key and the row's version. A
// row that cannot be decoded counts as no status, as in the inputs of the Controller.
func (w *StatusWriter) currentStatus(page fleet.StoreResponse, key string) (catalog.RolloutStatus, uint64) {
	for _, row := range page.Rows {
		if row.Key != key {
			continue
		}
		decoded, err := w.codec.Decode(row)
		if err != nil || decoded.Status == nil {
			w.log.WithField("event", "row_ignored").WithError(err).Warn("rollout status in the store cannot be decoded and is replaced")
			return catalog.RolloutStatus{}, row.Version
		}
		return *decoded.Status, row.Version
	}
	return catalog.RolloutStatus{}, 0
}
