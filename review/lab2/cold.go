//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// newColdWorld starts three servers of a service and a front in each zone.
func (w *world) newColdWorld() ([]*plainServer, error) {
	var servers []*plainServer
	for i, zone := range zones {
		s, err := w.newServer("bitacora", fmt.Sprintf("i-%d", i+1), zone)
		if err != nil {
			return nil, err
		}
		s.register()
		servers = append(servers, s)
	}
	w.putConfig(coldPerSecond, "bitacora")
	return servers, w.startFronts(zones)
}

// runCold: while the store is down, a server crashes and starts again under its id. It is
// cold then, and the fronts send it more than a cold server bears.
func runCold(w *world) (bool, error) {
	servers, err := w.newColdWorld()
	if err != nil {
		return false, err
	}
	t := w.startTraffic([]int{40, 40, 40}, unsafeCalls("bitacora"))
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.note("the store is down")
		w.storeDown.Store(true)
	}
	time.Sleep(time.Second)
	if err := servers[0].restart(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	w.note("the store is up")
	w.storeDown.Store(false)
	time.Sleep(4 * time.Second)
	t.end()
	return servers[0].coldBroken(), nil
}

// thawRounds is how often a front is frozen. Whether the front learns of the restart before
// it passes on what has come in the meantime depends on the order in which it wakes.
const thawRounds = 3

// runThaw: while a front is frozen, a server crashes and starts again under its id. The
// front then passes on what has come in the meantime, and sends the cold server more than it
// bears.
func runThaw(w *world) (bool, error) {
	servers, err := w.newColdWorld()
	if err != nil {
		return false, err
	}
	t := w.startTraffic([]int{60, 15, 15}, unsafeCalls("bitacora"))
	frozen := w.started()[0]
	for range thawRounds {
		time.Sleep(4 * time.Second)
		if w.trouble {
			w.note("%s is frozen", frozen.name)
			frozen.signal(syscall.SIGSTOP)
		}
		time.Sleep(1500 * time.Millisecond)
		if err := servers[0].restart(); err != nil {
			return false, err
		}
		time.Sleep(1400 * time.Millisecond)
		w.note("%s runs again", frozen.name)
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(4 * time.Second)
	t.end()
	return servers[0].coldBroken(), nil
}
