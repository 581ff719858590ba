// Package doorstest plays clients that do not behave against the programs of the system,
// which run as processes of their own. It checks only what does not depend on the speed of
// the machine.
package doorstest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The programs under test are built from these packages. The imports make the results
	// that go test has cached depend on them.
	_ "waxwingtide.example/waxwingtide/daemon"
	_ "waxwingtide.example/waxwingtide/frontend"
)

// programs is the folder of the programs, which are built once for all tests.
var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "doorstest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	for _, name := range []string{"waxwing-front", "waxwing-entry", "waxwing-agent"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "waxwingtide.example/waxwingtide/cmd/"+name) //nolint:gosec // the arguments are constants
		build.Stdout, build.Stderr = os.Stderr, os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintln(os.Stderr, name, "cannot be built:", err)
			return 1
		}
	}
	return m.Run()
}
