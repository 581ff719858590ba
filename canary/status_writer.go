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
	// toldRing bounds the states that wait to be written; further ones are dropped
	// and offered again at the next sweep.
	toldRing    = 16
	tellTimeout = time.Second
)

// Encoder writes the row by which the operator is told of a move.
type Encoder interface {
	EncodeStatus(status catalog.RolloutStatus) (fleet.Row, error)
}

// StatusWriter is the duty that tells the operator how moves stand. Its writes are
// conditional, so that of two processes one is told to look again.
type StatusWriter struct {
	store   fleet.Store
	encoder Encoder
	states  *ring.Ring[StatusUpdate]
	log     logrus.FieldLogger
}

// NewStatusWriter returns a teller that has not started.
func NewStatusWriter(store fleet.Store, encoder Encoder, log logrus.FieldLogger) *StatusWriter {
	return &StatusWriter{store: store, encoder: encoder, states: ring.New[StatusUpdate](toldRing), log: log}
}

// Enqueue orders a state to be written.
func (t *StatusWriter) Enqueue(told StatusUpdate) { t.states.Offer(told) }

// Run is the duty's loop.
func (t *StatusWriter) Run(ctx context.Context) error {
	for {
		told, err := t.states.Receive(ctx)
		if err != nil {
			return nil
		}
		t.write(ctx, told)
	}
}

func (t *StatusWriter) write(ctx context.Context, told StatusUpdate) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	log := t.log.WithFields(logrus.Fields{
		"event": "rollout_told", "service": told.Service, "software": told.To, "state": told.State, "replaces": told.ReplacedRevision,
	})
	row, err := t.encoder.EncodeStatus(told.RolloutStatus)
	if err == nil {
		condition := fleet.Row{Table: row.Table, Key: row.Key, Version: told.ReplacedRevision}
		_, err = t.store.Commit(ctx, fleet.Transaction{Conditions: []fleet.Row{condition}, Puts: []fleet.Row{row}})
	}
	if err != nil {
		log.WithError(err).Warn("operator was not told of a rollout")
		return
	}
	log.Info("operator was told of a rollout")
}
