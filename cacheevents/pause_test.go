package cacheevents

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
)

// pausedSource is the client of a source that wants no requests for a time.
type pausedSource struct {
	Client
	pause  time.Duration
	readAt []time.Time
}

func (s *pausedSource) Events(context.Context, string, uint64, time.Duration) (Events, error) {
	s.readAt = append(s.readAt, time.Now())
	return Events{}, &PauseError{For: s.pause, Cause: errs.New(errs.Unavailable, "retry later", "source is busy")}
}

// Guards against reads of a source within the time for which it has refused them.
func TestSourceIsNotReadWithinThePauseOfItsRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		client := &pausedSource{pause: 5 * time.Second}
		f := New(client, nil, NewRelay(1), nil, log)
		ctx, cancel := context.WithTimeout(t.Context(), 16*time.Second)
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		f.SetSources([]Source{{Address: "10.0.0.2:80"}})
		require.NoError(t, <-done)
		require.Len(t, client.readAt, 4)
		for i, at := range client.readAt[1:] {
			require.GreaterOrEqual(t, at.Sub(client.readAt[i]), client.pause)
		}
	})
}
