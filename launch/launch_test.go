package launch_test

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/launch"
)

// Guards against a SIGHUP that terminates a daemon which has not registered its
// handler yet.
func TestSIGHUPDuringStartDoesNotTerminate(t *testing.T) {
	args := os.Args
	t.Cleanup(func() {
		os.Args = args
		signal.Reset(syscall.SIGHUP)
	})
	os.Args = []string{"daemon", "settings.yaml"}
	status := launch.Main("daemon", "", func(_ context.Context, file string) error {
		require.Equal(t, "settings.yaml", file)
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond)
		return nil
	})
	require.Zero(t, status)
}
