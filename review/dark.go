//go:build review

package main

import "time"

// darkCase is that of a part that crashes servers which then fall silent until they are back.
// Without trouble no request has the part.
func darkCase(base *world) (bool, error) {
	w, err := startModels(base, false)
	if err != nil {
		return false, err
	}
	defer w.closeModels()
	w.dark = true
	if err := w.startFronts(len(zones)); err != nil {
		return false, err
	}
	begun := time.Now()
	stop := make(chan struct{})
	verdicts := w.load(crew, "verdict", "/verdict/x", 0, verdictsPerSecond, false, stop)
	drafts := w.load(crew, "draft", "/draft/x", 0, draftsPerSecond, false, stop)
	wait := func() {}
	if w.trouble {
		wait = w.load(crew, "bad", "/verdict/x", badFrom, badPerSecond, true, stop).Wait
	}
	time.Sleep(time.Until(begun.Add(killEnd)))
	close(stop)
	verdicts.Wait()
	drafts.Wait()
	wait()
	return w.lateArrivals(begun.Add(badFrom)), nil
}
