//go:build review

// Command lab2 runs the cases 6 to 10 of the review, each with the project's own front as
// separate processes and with stand-ins for the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"cold":  runCold,
	"warm":  runWarm,
	"entry": runEntry,
	"thaw":  runThaw,
	"beat":  runBeat,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		return failed
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	isBroken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return failed
	case isBroken:
		return broken
	}
	return held
}
