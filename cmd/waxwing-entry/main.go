// Command waxwing-entry runs the entry daemon with the settings file that it is
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
	os.Exit(launch.Main("waxwing-entry", "", func(ctx context.Context, file string) error {
		s, err := settings.LoadEntry(file)
		if err != nil {
			return err
		}
		daemon.LimitMemory(s.Doors)
		return daemon.RunEntry(ctx, s, daemon.Deps{})
	}))
}
