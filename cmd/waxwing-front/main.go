// Command waxwing-front serves callers on the users' platform. It reads the
// settings file that it is given, or that the environment names.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/frontend"
)

// settingsVariable names the settings file when no argument does.
const settingsVariable = "WAXWINGTIDE_CONFIG"

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	command := &cobra.Command{
		Use:           "waxwing-front [SETTINGS.yaml]",
		Short:         "Serves callers on the users' platform",
		Long:          "Serves callers on the users' platform. Without an argument, the variable " + settingsVariable + " names the settings file.",
		Args:          cobra.MaximumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, args []string) error { return run(c.Context(), args) },
	}
	err := command.ExecuteContext(ctx)
	cancel()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "waxwing-front: "+err.Error())
	if errs.Is(err, errs.Invalid) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

func run(ctx context.Context, args []string) error {
	file := os.Getenv(settingsVariable)
	if len(args) > 0 {
		file = args[0]
	}
	if file == "" {
		return errs.New(errs.Invalid, "give a file or set "+settingsVariable, "no settings file is named")
	}
	return frontend.Run(ctx, file)
}
