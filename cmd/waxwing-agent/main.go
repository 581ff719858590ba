// Command waxwing-agent runs the agent daemon with the settings file that it is
// given.
package main

import (
	"context"
	"os"

	"waxwingtide.example/waxwingtide/daemon"
	"waxwingtide.example/waxwingtide/launch"
	"waxwingtide.example/waxwingtide/settings"
)

func main() {
	os.Exit(launch.Main("waxwing-agent", "", func(ctx context.Context, file string) error {
		s, err := settings.LoadAgent(file)
		if err != nil {
			return err
		}
		daemon.LimitMemory(s.Doors)
		return daemon.RunAgent(ctx, s, daemon.Deps{})
	}))
}
