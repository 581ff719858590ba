// Package launch holds what the main functions of the daemons have in common:
// the command line, signals and exit statuses.
package launch

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
// for any other failure. SIGTERM and SIGINT are planned stops. Without an
// argument, the environment variable names the file, if the daemon has one.
func Main(name, variable string, run func(ctx context.Context, settingsFile string) error) int {
	// SIGHUP asks for a reload; before the daemon listens for it, it must not end
	// the process.
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	status := 0
	command := &cobra.Command{
		Use:           name + " SETTINGS.yaml",
		Short:         "Runs the " + name + " daemon",
		Example:       "  " + name + " /etc/waxwingtide/" + name + ".yaml",
		Args:          cobra.MaximumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, args []string) error {
			file, err := settingsFile(args, variable)
			if err == nil {
				err = run(c.Context(), file)
			}
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

// settingsFile returns the file that the arguments or the variable name.
func settingsFile(args []string, variable string) (string, error) {
	if len(args) > 0 {
		return args[0], nil
	}
	if variable == "" {
		return "", errs.New(errs.Invalid, "give the settings file as the argument", "no settings file is named")
	}
	if file := os.Getenv(variable); file != "" {
		return file, nil
	}
	return "", errs.New(errs.Invalid, "give the settings file as the argument, or set "+variable, "no settings file is named")
}
