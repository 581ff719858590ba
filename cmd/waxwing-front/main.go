// Command waxwing-front serves callers on the users' platform with the settings
// file that it is given, or that the environment names.
package main

import (
	"os"

	"waxwingtide.example/waxwingtide/frontend"
	"waxwingtide.example/waxwingtide/launch"
)

// settingsVariable names the settings file when no argument does.
const settingsVariable = "WAXWINGTIDE_CONFIG"

func main() {
	os.Exit(launch.Main("waxwing-front", settingsVariable, frontend.Run))
}
