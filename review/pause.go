//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// pauseFor is the Retry-After of the server, turnAwayFor the time after its start in
	// which it turns requests away.
	pauseFor    = 5 * time.Second
	turnAwayFor = 700 * time.Millisecond
	crashAt     = 4 * time.Second
	crashFor    = 1500 * time.Millisecond
	// registerAfter is the time after its start at which a server writes its entry. It
	// writes about every heartbeat, 1.2 s.
	registerAfter = time.Second
	pauseUntil    = 14 * time.Second
	// allowedInPause is the number of requests from one machine that the rule allows.
	allowedInPause = 2
)

// pauseCase lets a server crash and start again under its id. It turns requests away with
// Retry-After before its entry is written.
func pauseCase(w *world) (bool, error) {
	w.configurePlain()
	calls := newSentCalls()
	var mu sync.Mutex
	turnedAway := make(map[string]time.Time)
	inPause := make(map[string]int)
	var restartedAt time.Time
	crashAndRestart := func() {}
	for i, id := range []string{"i-0a11", "i-0b22", "i-0c33"} {
		s := &plainServer{w: w, id: id, zone: []string{"celaya", "salamanca", "irapuato"}[i], address: freeAddress()}
		s.serve = func(rw http.ResponseWriter, _ *http.Request, call string) {
			f, now := calls.frontOf(call), time.Now()
			mu.Lock()
			if at := turnedAway[s.id+f]; !at.IsZero() && now.Sub(at) > 500*time.Millisecond && now.Sub(at) < pauseFor {
				inPause[s.id+" from "+f]++
				w.rec.note("server %s gets %s from %s, %s after it has asked that front for a pause of %s", s.id, call, f, now.Sub(at).Round(time.Millisecond), pauseFor)
			}
			turnAway := s.id == "i-0a11" && !restartedAt.IsZero() && now.Sub(restartedAt) < turnAwayFor
			if turnAway {
				turnedAway[s.id+f] = now
			}
			mu.Unlock()
			if turnAway {
				w.rec.note("server %s turns %s from %s away: 503, Not-Executed, Retry-After 5", s.id, call, f)
				rw.Header().Set("Not-Executed", "1")
				rw.Header().Set("Retry-After", "5")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			time.Sleep(30 * time.Millisecond)
			answer(rw, call)
		}
		if err := s.listen(); err != nil {
			return false, err
		}
		defer s.close()
		s.register(time.Now())
		if i > 0 {
			continue
		}
		crashAndRestart = func() {
			s.close()
			w.rec.note("server %s crashes", s.id)
			time.Sleep(crashFor)
			if err := s.listen(); err != nil {
				w.rec.note("server %s did not start: %v", s.id, err)
				return
			}
			now := time.Now()
			mu.Lock()
			restartedAt = now
			mu.Unlock()
			w.rec.note("server %s starts again under its id", s.id)
			time.Sleep(registerAfter)
			s.register(now)
			w.rec.note("server %s writes its entry", s.id)
		}
	}
	if err := w.startFronts(len(zones)); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		w.callLoad(calls, 60, stop, func(*front) bool { return true })
	}()
	begun := time.Now()
	time.Sleep(crashAt)
	if w.trouble {
		crashAndRestart()
	}
	time.Sleep(time.Until(begun.Add(pauseUntil)))
	close(stop)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	ruleBroken := false
	for name, n := range inPause {
		w.rec.note("%d requests reached server %s between half a second after its 503 and the end of the pause; %d are allowed", n, name, allowedInPause)
		ruleBroken = ruleBroken || n > allowedInPause
	}
	return ruleBroken, nil
}
