// Command waxwingtide is the operators' command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"waxwingtide.example/waxwingtide/cli"
	"waxwingtide.example/waxwingtide/dev"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	root := cli.NewRoot()
	root.AddCommand(dev.NewCommand(), cli.NewConfig())
	status := cli.Run(ctx, root, os.Args[1:])
	cancel()
	os.Exit(status)
}
