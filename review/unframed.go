//go:build review

package main

import "time"

const (
	poisonFrom = 15 * time.Second
	poisonEnd  = 55 * time.Second
	// minCounted is the number of sound requests that the rule asks for on both sides.
	minCounted = 20
)

// unframedCase lets the streams of sound servers end with their connections. With trouble,
// requests with a part that crashes servers come from poisonFrom on. It compares how often
// sound requests with the same first part begin before and after.
func unframedCase(base *world) (bool, error) {
	w, err := startModels(base, true)
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
	wait := func() {}
	if w.trouble {
		wait = w.load(crew, "bad", "/verdict/x", poisonFrom, badPerSecond, true, stop).Wait
	}
	time.Sleep(time.Until(begun.Add(poisonEnd)))
	close(stop)
	verdicts.Wait()
	wait()
	return w.soundRequestsSuffer(begun.Add(poisonFrom)), nil
}

// soundRequestsSuffer compares the shares of sound requests that begin.
func (w *modelWorld) soundRequestsSuffer(poisoned time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.note("%d crashes", len(w.crashes))
	from := poisoned
	if n := len(w.crashes); n > 0 {
		from = w.crashes[min(n, 5)-1].Add(2 * contact)
	}
	type tally struct{ sent, began, refused int }
	var before, after tally
	for _, p := range w.prompts {
		t := &before
		switch {
		case p.bad || p.sentAt.After(poisoned) && !p.sentAt.After(from):
			continue
		case p.sentAt.After(from):
			t = &after
		}
		t.sent++
		if p.began {
			t.began++
		}
		if p.status == 503 {
			t.refused++
		}
	}
	w.rec.note("sound requests sent before the first request with the part: %d, begun %d, refused with 503 %d", before.sent, before.began, before.refused)
	w.rec.note("sound requests sent from %.3f on (twice %s after the fifth crash, or the last): %d, begun %d, refused with 503 %d", from.Sub(w.rec.start).Seconds(), contact, after.sent, after.began, after.refused)
	if before.sent < minCounted || after.sent < minCounted {
		return false
	}
	return float64(after.began)/float64(after.sent) < 0.5*float64(before.began)/float64(before.sent)
}
