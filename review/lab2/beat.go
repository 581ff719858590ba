//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Times of the case, from the moment at which the store loses answers.
const (
	// drainingAt is more than contact-ms after it, so that the store counts as stable.
	drainingAt = 3500 * time.Millisecond
	// performedAt is when the store performs the writes that it has not answered.
	performedAt = 5700 * time.Millisecond
	// exitAt is when the servers that leave exit: a little later than drain-ms after the store
	// has accepted that they leave.
	exitAt      = performedAt + 500*time.Millisecond
	observedFor = 8500 * time.Millisecond
	// drainTime is drain-ms.
	drainTime = 2 * time.Second
)

const (
	beatServers = 12
	beatLeavers = 3
)

// leaver is a server that leaves.
type leaver struct {
	*plainServer
	// acknowledgedAt is when the store has acknowledged that it leaves, in Unix ms.
	acknowledgedAt atomic.Int64
	unanswered     map[string]any
}

// runBeat: the store performs writes that it has not answered seconds later. They are
// entries of servers that have said since that they leave.
func runBeat(w *world) (bool, error) {
	var late atomic.Int64
	var staying []*plainServer
	var leaving []*leaver
	for i := range beatServers {
		s, err := w.newServer("bitacora", fmt.Sprintf("i-%02d", i+1), zones[i%len(zones)])
		if err != nil {
			return false, err
		}
		s.work = longWork
		w.store.Put("servers", s.id, s.entry("ready"))
		if i >= beatLeavers {
			staying = append(staying, s)
			continue
		}
		l := &leaver{plainServer: s}
		s.onRun = func(r *http.Request) {
			since := l.acknowledgedAt.Load()
			if over := time.Since(time.UnixMilli(since)) - drainTime; since > 0 && over > 0 {
				late.Add(1)
				w.note("%s reaches server %s, %.3f s after the end of drain-ms", r.Header.Get("Request-Id"), s.id, over.Seconds())
			}
		}
		leaving = append(leaving, l)
	}
	beat := func(state string) {
		for _, s := range staying {
			w.store.Put("servers", s.id, s.entry("ready"))
		}
		for _, l := range leaving {
			w.store.Put("servers", l.id, l.entry(state))
		}
	}
	w.putConfig(0, "bitacora")
	if err := w.startFronts(zones); err != nil {
		return false, err
	}
	t := w.startTraffic([]int{10, 10, 10}, unsafeCalls("bitacora"))
	for range 2 {
		time.Sleep(heartbeat)
		beat("ready")
	}
	time.Sleep(heartbeat)
	begun := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }
	if w.trouble {
		for _, l := range leaving {
			l.unanswered = l.entry("ready")
			w.note("the store does not answer entry %v of server %s: ready", l.unanswered["seq"], l.id)
		}
	}
	for _, d := range []time.Duration{heartbeat, 2 * heartbeat} {
		until(d)
		beat("ready")
	}
	until(drainingAt)
	for _, l := range leaving {
		entry := l.entry("draining")
		l.leaving.Store(true)
		w.store.Put("servers", l.id, entry)
		l.acknowledgedAt.Store(time.Now().UnixMilli())
		w.note("the store acknowledges entry %v of server %s: draining", entry["seq"], l.id)
	}
	until(drainingAt + heartbeat)
	beat("draining")
	until(performedAt)
	for _, l := range leaving {
		if l.unanswered != nil {
			w.note("the store performs entry %v of server %s, which it has not answered: ready", l.unanswered["seq"], l.id)
			w.store.Put("servers", l.id, l.unanswered)
		}
	}
	until(exitAt)
	lost := 0
	for _, l := range leaving {
		l.crash()
		lost += l.lost
		w.store.Put("servers", l.id, nil)
	}
	until(observedFor)
	t.end()
	w.note("%d calls have reached a server that leaves after drain-ms; %d calls ran at one when it exited", late.Load(), lost)
	return late.Load() > 0, nil
}
