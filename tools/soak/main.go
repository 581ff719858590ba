// Command soak runs fronts as separate processes between stand-ins, injects
// faults from outside with signals and loopback proxies, and checks what callers
// and servers see. The same seed draws the same faults at the same times.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

func main() { os.Exit(status()) }

// status runs the command and returns the exit status.
func status() int {
	o := options{}
	command := &cobra.Command{
		Use: "soak", Short: "Runs fronts under random faults and checks their promises",
		Example: "  go build -o bin/ ./cmd/waxwing-front && go run ./tools/soak --front bin/waxwing-front --seed 7 --for 30s",
		Args:    cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			result, err := run(c.Context(), o)
			if err != nil {
				return err
			}
			fmt.Println(result)
			if len(result.Broken) > 0 {
				return fmt.Errorf("seed %d: %d promises broken; logs are in %s", o.Seed, len(result.Broken), result.Logs)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.Front, "front", "bin/waxwing-front", "program to run")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the faults and calls")
	flags.DurationVar(&o.For, "for", 20*time.Second, "how long faults are injected")
	flags.IntVar(&o.Fronts, "fronts", 3, "processes to run")
	flags.IntVar(&o.Servers, "servers", 4, "stand-in servers")
	flags.IntVar(&o.Callers, "callers", 12, "callers at the same time")
	flags.StringVar(&o.Logs, "logs", "", "directory for logs; a new temporary one by default")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}
