package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const sampleInterval = 250 * time.Millisecond

// sampler is the duty that asks the engine for its incarnation, cache epoch
// and loaded versions. A changed incarnation or cache epoch means that the
// engine is cold.
type sampler struct {
	engine    Engine
	admission *admission
	log       logrus.FieldLogger
	failing   bool
}

func (s *sampler) run(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		s.sample(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *sampler) sample(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*sampleInterval)
	defer cancel()
	info, err := s.engine.Info(ctx)
	if err == nil {
		_ = s.admission.events.Send(ctx, infoEvent{info})
	}
	if (err != nil) == s.failing || ctx.Err() != nil {
		return
	}
	s.failing = err != nil
	entry := s.log.WithFields(logrus.Fields{"event": "engine_state", "answers": !s.failing})
	if err != nil {
		entry.WithError(err).Warn("engine does not answer")
		return
	}
	entry.Info("engine answers again")
}
