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

	// The program under test is built from this package. The import makes the results that
	// go test has cached depend on it.
	_ "waxwingtide.example/waxwingtide/frontend"
)

// frontProgram is the path of waxwing-front, which is built once for all tests.
var frontProgram string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "doorstest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	frontProgram = filepath.Join(dir, "waxwing-front")
	build := exec.Command("go", "build", "-o", frontProgram, "waxwingtide.example/waxwingtide/cmd/waxwing-front") //nolint:gosec // the arguments are constants
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "waxwing-front cannot be built:", err)
		return 1
	}
	return m.Run()
}
