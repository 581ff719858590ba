//go:build review

package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

var discardLog = log.New(io.Discard, "", 0)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scenarios by name. They return whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"quarantine": quarantineCase,
	"limit":      limitCase,
	"pause":      pauseCase,
	"unframed":   unframedCase,
	"isolation":  isolationCase,
	"lease":      oneCase,
	"dark":       darkCase,
}

func main() { os.Exit(status()) }

func status() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE FOLDER")
		return failed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		w.close()
		os.Exit(failed)
	}()
	ruleBroken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case ruleBroken:
		return broken
	}
	return held
}
