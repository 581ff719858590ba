// Package duty starts and supervises long-lived goroutines. Each duty owns its
// state and runs one loop over its rings and timers until its context ends.
package duty

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// Func runs one duty until the context ends. It then returns nil or the context's error.
type Func func(ctx context.Context) error

// Group supervises the duties of one process. When a duty fails or panics, the context
// of all other duties is cancelled and Wait returns the error.
type Group struct {
	pool   *pool.ContextPool
	ctx    context.Context
	cancel context.CancelFunc
	log    logrus.FieldLogger
}

// NewGroup returns a group without duties. Its duties stop when the context ends or when
// Stop is called.
func NewGroup(ctx context.Context, log logrus.FieldLogger) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{
		pool:   pool.New().WithContext(ctx).WithCancelOnError().WithFirstError(),
		ctx:    ctx,
		cancel: cancel,
		log:    log,
	}
}

// Context returns a context that ends when the context passed to NewGroup ends, when
// Stop is called or when Wait returns.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a duty. The name appears in logs and errors.
func (g *Group) Go(name string, run Func) {
	g.pool.Go(func(ctx context.Context) (err error) {
		defer func() {
			if cause := recover(); cause != nil {
				err = errors.Newf("duty %s panicked: %v", name, cause)
			}
			if err != nil && !errors.Is(err, context.Canceled) {
				g.log.WithFields(logrus.Fields{"event": "duty_failed", "duty": name}).WithError(err).Error("duty failed")
			}
		}()
		err = run(ctx)
		if errors.Is(err, context.Canceled) && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("duty %s: %w", name, err)
		}
		return nil
	})
}

// Stop cancels the context of all duties without waiting for their end.
func (g *Group) Stop() { g.cancel() }

// Wait blocks until all duties have ended and returns the first error.
func (g *Group) Wait() error {
	defer g.cancel()
	return g.pool.Wait()
}
