package canary

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// updateRingSize is the capacity of the ring of updates that wait to be written.
	// Further updates are dropped. The caller of PendingUpdates gets them again at
	// its next check.
	updateRingSize = 16
	writeTimeout   = time.Second
)

// Encoder encodes a rollout status as the row that the operator reads.
type Encoder interface {
	EncodeStatus(status catalog.RolloutStatus) (fleet.Row, error)
}

// StatusWriter is the duty that writes the status of rollouts for the operator.
// Its writes are conditional on the replaced row version. If two processes write
// concurrently, the write of one of them fails. Its controller returns the update
// again if newer inputs still require it.
type StatusWriter struct {
	store   fleet.Store
	encoder Encoder
	updates *ring.Ring[StatusUpdate]
	log     logrus.FieldLogger
}

// NewStatusWriter returns a StatusWriter that has not started.
func NewStatusWriter(store fleet.Store, encoder Encoder, log logrus.FieldLogger) *StatusWriter {
	return &StatusWriter{store: store, encoder: encoder, updates: ring.New[StatusUpdate](updateRingSize), log: log}
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
		"event": "rollout_told", "service": update.Service, "software": update.Version, "state": update.State, "replaces": update.ReplacedRowVersion,
	})
	row, err := w.encoder.EncodeStatus(update.RolloutStatus)
	if err == nil {
		condition := fleet.Row{Table: row.Table, Key: row.Key, Version: update.ReplacedRowVersion}
		_, err = w.store.Commit(ctx, fleet.Transaction{Conditions: []fleet.Row{condition}, Puts: []fleet.Row{row}})
	}
	if err != nil {
		log.WithError(err).Warn("write of the rollout status was not confirmed")
		return
	}
	log.Info("rollout status written")
}
