package duty_test

import (
	"context"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/duty"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Guards against a process that continues to run after one of its duties has failed.
func TestGroupStopsAllDutiesOnFailure(t *testing.T) {
	cases := map[string]struct {
		run  duty.Func
		want string
	}{
		"error": {func(context.Context) error { return errors.New("lost") }, "duty broken: lost"},
		"panic": {func(context.Context) error { panic("index") }, "duty broken panicked: index"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := duty.NewGroup(t.Context(), discardLogger())
			g.Go("waiting", func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			})
			g.Go("broken", c.run)
			require.EqualError(t, g.Wait(), c.want)
		})
	}
}

// Guards against a planned stop that is reported as a failure.
func TestGroupStop(t *testing.T) {
	g := duty.NewGroup(t.Context(), discardLogger())
	g.Go("waiting", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	g.Stop()
	require.NoError(t, g.Wait())
}
