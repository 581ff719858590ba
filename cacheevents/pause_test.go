package cacheevents

import (
	"context"
	"io"
	"sync/atomic"
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

// countedSource is the client of a source that wants no requests for an hour.
type countedSource struct {
	Client
	reads atomic.Int64
}

func (s *countedSource) Events(context.Context, string, uint64, time.Duration) (Events, error) {
	s.reads.Add(1)
	return Events{}, &PauseError{For: time.Hour, Cause: errs.New(errs.Unavailable, "retry later", "source is busy")}
}

// Guards against a source that is not read again after it has restarted, because its
// previous incarnation wanted no requests for a long time.
func TestPauseOfRefusalEndsWithIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		client := new(countedSource)
		f := New(client, nil, NewRelay(1), nil, log)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		f.SetSources([]Source{{Address: "10.0.0.2:80", StartedAtMs: 1}})
		time.Sleep(time.Second)
		f.SetSources([]Source{{Address: "10.0.0.2:80", StartedAtMs: 1}})
		time.Sleep(time.Second)
		require.EqualValues(t, 1, client.reads.Load())
		f.SetSources([]Source{{Address: "10.0.0.2:80", StartedAtMs: 2}})
		time.Sleep(time.Second)
		cancel()
		require.NoError(t, <-done)
		require.EqualValues(t, 2, client.reads.Load())
	})
}
