// Package launch contains the code that the main functions of the daemons have
// in common: the command line, signal handling and exit statuses.
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

// Main runs a daemon and returns its exit status. The only command-line argument
// is the path of the settings file. Without it, the path is read from the
// environment variable, unless its name is empty. The exit status is 0 if run
// returns no error, 2 for wrong usage or settings, and 1 for any other failure.
// SIGTERM and SIGINT cancel the context of run.
func Main(name, environmentVariable string, run func(ctx context.Context, settingsFile string) error) int {
	// SIGHUP requests a reload of the settings. Its default action would terminate
	// a process that has not registered its handler yet.
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
			file, err := settingsFile(args, environmentVariable)
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

// settingsFile returns the path in the first argument or, without arguments, in
// the environment variable.
func settingsFile(args []string, environmentVariable string) (string, error) {
	if len(args) > 0 {
		return args[0], nil
	}
	if environmentVariable == "" {
		return "", errs.New(errs.Invalid, "pass the path of the settings file as the argument", "no settings file specified")
	}
	if file := os.Getenv(environmentVariable); file != "" {
		return file, nil
	}
	return "", errs.New(errs.Invalid, "pass the path of the settings file as the argument, or set "+environmentVariable, "no settings file specified")
}
