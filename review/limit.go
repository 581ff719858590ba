//go:build review

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// serverLimit is what each server in need names, in requests a second.
	serverLimit = 1.0
	// needFrom is when the servers come into need, counted from the readiness of the fronts.
	needFrom   = 3 * time.Second
	removeAt   = 10 * time.Second
	limitUntil = 40 * time.Second
	// limitWindow and the two figures after it are those of the rule.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// needTime is the time in which a server in need answers.
	needTime = 600 * time.Millisecond
)

type limitArrival struct {
	at    time.Time
	front string
}

// limitCase lets all servers of a service name a Server-Limit. With trouble, the front that
// sends the requests to one of them is removed for good.
func limitCase(w *world) (bool, error) {
	w.configurePlain()
	calls := newSentCalls()
	var mu sync.Mutex
	arrivals := make(map[string][]limitArrival)
	namedAt := make(map[string]time.Time)
	passedOn := make(map[string]time.Time)
	needy := make(chan struct{})
	for i, id := range []string{"i-0a11", "i-0b22", "i-0c33"} {
		s := &plainServer{w: w, id: id, zone: []string{"celaya", "salamanca", "irapuato"}[i], address: freeAddress()}
		s.serve = func(rw http.ResponseWriter, _ *http.Request, call string) {
			f := calls.frontOf(call)
			now := time.Now()
			w.rec.note("server %s runs %s from %s", s.id, call, f)
			mu.Lock()
			arrivals[s.id] = append(arrivals[s.id], limitArrival{now, f})
			mu.Unlock()
			select {
			case <-needy:
				time.Sleep(needTime)
				rw.Header().Set("Server-Limit", "1.0")
				mu.Lock()
				if namedAt[s.id].IsZero() {
					namedAt[s.id] = time.Now()
				}
				if key := s.id + f; passedOn[key].IsZero() {
					passedOn[key] = time.Now()
				}
				mu.Unlock()
			default:
				time.Sleep(30 * time.Millisecond)
			}
			answer(rw, call)
		}
		if err := s.listen(); err != nil {
			return false, err
		}
		defer s.close()
		s.register(time.Now())
	}
	if err := w.startFronts(len(zones)); err != nil {
		return false, err
	}
	begun := time.Now()
	stop := make(chan struct{})
	var removed *front
	var removedMu sync.Mutex
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		w.callLoad(calls, 30, stop, func(f *front) bool {
			removedMu.Lock()
			defer removedMu.Unlock()
			return f != removed
		})
	}()
	time.Sleep(time.Until(begun.Add(needFrom)))
	w.rec.note("all servers come into need: they name Server-Limit %.1f", serverLimit)
	close(needy)
	time.Sleep(time.Until(begun.Add(removeAt)))
	if w.trouble {
		mu.Lock()
		list := arrivals["i-0a11"]
		last := list[len(list)-1].front
		mu.Unlock()
		for _, f := range w.fronts {
			if f.name == last {
				removedMu.Lock()
				removed = f
				removedMu.Unlock()
				f.signal(syscall.SIGKILL, true)
				w.rec.note("front %s is removed for good", f.name)
			}
		}
	}
	time.Sleep(time.Until(begun.Add(limitUntil)))
	close(stop)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	ruleBroken := false
	for id, list := range arrivals {
		from := namedAt[id].Add(contact)
		var counted []limitArrival
		for _, a := range list {
			passed := passedOn[id+a.front]
			if a.at.After(from) && !passed.IsZero() && a.at.Sub(passed) >= 500*time.Millisecond && (removed == nil || a.front != removed.name) {
				counted = append(counted, a)
			}
		}
		most, at := 0, time.Time{}
		for i := range counted {
			n := 0
			for j := i; j < len(counted) && counted[j].at.Sub(counted[i].at) < limitWindow; j++ {
				n++
			}
			if n > most {
				most, at = n, counted[i].at
			}
		}
		allowed := limitFactor*serverLimit*limitWindow.Seconds() + limitSlack
		w.rec.note("server %s gets at most %d requests in %s (from %.3f), %.0f are allowed", id, most, limitWindow, at.Sub(w.rec.start).Seconds(), allowed)
		ruleBroken = ruleBroken || float64(most) > allowed
	}
	return ruleBroken, nil
}
