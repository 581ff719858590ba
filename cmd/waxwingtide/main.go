// Command waxwingtide holds the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"waxwingtide.example/waxwingtide/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cli.Run(ctx, cli.NewRoot(), os.Args[1:])
	stop()
	os.Exit(status)
}
