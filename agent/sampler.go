package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// engineInfoInterval is the interval between two requests for the engine's state.
const engineInfoInterval = 250 * time.Millisecond

// engineMonitor is the duty that polls the engine's incarnation, cache epoch and loaded versions.
// If the incarnation or the cache epoch has changed, the engine is cold.
type engineMonitor struct {
	engine    Engine
	admission *admission
	log       logrus.FieldLogger
	// failing is set if the last request to the engine failed.
	failing bool
}

func (s *engineMonitor) run(ctx context.Context) error {
	ticker := time.NewTicker(engineInfoInterval)
	defer ticker.Stop()
	for {
		s.pollEngine(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *engineMonitor) pollEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*engineInfoInterval)
	defer cancel()
	info, err := s.engine.Info(ctx)
	if err == nil {
		_ = s.admission.events.Send(ctx, infoEvent{info})
	}
	if (err != nil) == s.failing || ctx.Err() != nil {
		return
	}
	s.failing = err != nil
	log := s.log.WithFields(logrus.Fields{"event": "engine_state", "answers": !s.failing})
	if err != nil {
		log.WithError(err).Warn("engine does not respond")
		return
	}
	log.Info("engine responds again")
}
