package dev

import (
	"encoding/json"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/telemetry"
)

const defaultLength = 10 * time.Second

// NewCommand returns the dev command.
func NewCommand() *cobra.Command {
	var o Options
	var load string
	var asJSON, verbose bool
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run the whole system with small stand-ins and a seeded workload",
		Long: "Runs entries, agents and stand-ins for engines, record servers, stores and the platform\n" +
			"in one process over loopback, sends a seeded workload, and prints a summary. The exit\n" +
			"status is 1 if an invariant was broken.",
		Example: "  waxwingtide dev --for 20s --load heavy --baseline\n  waxwingtide dev --deployment b --fault domain-drain --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if load != "light" && load != "heavy" {
				return errs.New(errs.Invalid, "use --load light or heavy", "load %q is not known", load)
			}
			if o.For < time.Second {
				return errs.New(errs.Invalid, "use a length of at least 1s", "--for %s is too short", o.For)
			}
			level := logrus.WarnLevel
			if verbose {
				level = logrus.DebugLevel
			}
			o.Heavy = load == "heavy"
			o.Log = telemetry.NewLogger(os.Stderr, level)
			if !asJSON {
				o.Progress = cmd.ErrOrStderr()
			}
			return execute(cmd, o, asJSON)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&o.For, "for", defaultLength, "length of the workload")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the workload")
	flags.StringVar(&load, "load", "light", "light or heavy")
	flags.StringVar(&o.Deployment, "deployment", "a", "workload of deployment a or b")
	flags.BoolVar(&asJSON, "json", false, "print only the summary, as one JSON object")
	flags.BoolVar(&o.Baseline, "baseline", false, "also run with least-loaded routing and without kept cache")
	flags.StringArrayVar(&o.Faults, "fault", nil, "inject a fault; may be repeated")
	flags.BoolVarP(&verbose, "verbose", "v", false, "log every event")
	return command
}

func execute(cmd *cobra.Command, o Options, asJSON bool) error {
	summary, err := Run(cmd.Context(), o)
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		err = encoder.Encode(summary)
	} else {
		err = summary.print(cmd.OutOrStdout())
	}
	if err != nil {
		return err
	}
	if summary.violated() {
		return errs.New(errs.Internal, "see the counters and run again with --verbose", "an invariant was broken")
	}
	if summary.FaultErrors > 0 {
		return errs.New(errs.Internal, "see the log", "%d fault steps could not be carried out", summary.FaultErrors)
	}
	return nil
}
