//go:build review

package main

import (
	"syscall"
	"time"
)

const (
	// Times since the fronts are ready. The fronts have run for a while when the first
	// request with the part comes.
	badFrom = 15 * time.Second
	killAt  = 32 * time.Second
	downFor = time.Second
	killEnd = 52 * time.Second
	// allowedLate is the number of requests with the part that may reach servers later
	// than contact after the fifth crash.
	allowedLate = 3
)

// quarantineCase sends requests with a part that crashes servers. With trouble, all fronts
// are killed at once long after the part is known. It counts the requests with the part
// that reach servers, sent by fronts in touch later than contact after the fifth crash.
func quarantineCase(base *world) (bool, error) {
	w, err := startModels(base, false)
	if err != nil {
		return false, err
	}
	defer w.closeModels()
	if err := w.startFronts(len(zones)); err != nil {
		return false, err
	}
	begun := time.Now()
	stop := make(chan struct{})
	verdicts := w.load(crew, "verdict", "/verdict/x", 0, verdictsPerSecond, false, stop)
	drafts := w.load(crew, "draft", "/draft/x", 0, draftsPerSecond, false, stop)
	bad := w.load(crew, "bad", "/verdict/x", badFrom, badPerSecond, true, stop)
	time.Sleep(time.Until(begun.Add(killAt)))
	if w.trouble {
		for _, f := range w.fronts {
			f.signal(syscall.SIGKILL, true)
		}
		w.rec.note("all fronts are killed")
		time.Sleep(downFor)
		for _, f := range w.fronts {
			<-f.end()
			if err := w.launch(f); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(begun.Add(killEnd)))
	close(stop)
	verdicts.Wait()
	drafts.Wait()
	bad.Wait()
	return w.lateArrivals(begun.Add(killAt).Add(downFor + contact)), nil
}

// lateArrivals counts the late requests with the part. from is when the fronts that were
// killed are in touch again.
func (w *modelWorld) lateArrivals(from time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	broken := 0
	for _, p := range w.prompts {
		if !p.bad && p.began && !p.whole && p.sentAt.After(from) {
			broken++
		}
	}
	w.rec.note("%d crashes in all; of the sound requests sent from %.3f on, %d had begun and were broken off", len(w.crashes), from.Sub(w.rec.start).Seconds(), broken)
	if len(w.crashes) < 5 {
		w.rec.note("held: fewer than five crashes")
		return false
	}
	startedAt := make(map[string]time.Time)
	for _, f := range w.fronts {
		startedAt[f.name] = f.since()
	}
	late := 0
	for _, a := range w.arrivals {
		if a.at.After(w.crashes[4].Add(contact)) && a.at.After(startedAt[a.front].Add(contact)) {
			late++
			w.rec.noteAt(a.at, "counts: later than %s after the fifth crash, and %s had run for %s", contact, a.front, a.at.Sub(startedAt[a.front]).Round(time.Millisecond))
		}
	}
	w.rec.note("%d requests with the part reached servers later than %s after the fifth crash, sent by fronts in touch; %d are allowed", late, contact, allowedLate)
	return late > allowedLate
}
