package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/errs"
)

// Exit statuses of the daemons.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Main runs a daemon with its settings file as the only argument and returns
// the exit status: 0 after a planned stop, 2 for wrong usage or settings, 1
// for any other failure. SIGTERM and SIGINT are planned stops.
func Main(name string, run func(ctx context.Context, settingsFile string) error) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	status := 0
	command := &cobra.Command{
		Use:           name + " SETTINGS.yaml",
		Short:         "Runs the " + name + " daemon",
		Example:       "  " + name + " /etc/waxwingtide/" + name + ".yaml",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, args []string) error {
			err := run(c.Context(), args[0])
			if err != nil && !errs.Is(err, errs.Invalid) {
				status = exitFailure
			}
			return err
		},
	}
	if err := command.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, name+": "+err.Error())
		if status == 0 {
			status = exitUsage
		}
	}
	return status
}
