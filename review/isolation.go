//go:build review

package main

import "time"

const (
	isolateAt = 8 * time.Second
	// configApply is the bound from which a configuration has to be in force.
	configApply  = 2 * time.Second
	otherFrom    = 11 * time.Second
	isolationEnd = 20 * time.Second
)

// isolationCase lets one tenant send prompts. With trouble, a configuration then isolates
// that tenant. Another tenant sends prompts with the same first part after it.
func isolationCase(base *world) (bool, error) {
	w, err := startModels(base, false)
	if err != nil {
		return false, err
	}
	defer w.closeModels()
	if err := w.startFronts(len(zones)); err != nil {
		return false, err
	}
	begun := time.Now()
	stop, stopFirst := make(chan struct{}), make(chan struct{})
	first := w.load(crew, "crew", "/verdict/x", 0, verdictsPerSecond, false, stopFirst)
	second := w.load(other, "other", "/verdict/x", otherFrom, verdictsPerSecond, false, stop)
	time.Sleep(time.Until(begun.Add(isolateAt)))
	isolated := ""
	if w.trouble {
		isolated = crew
	}
	w.configureModels(2, isolated)
	changedAt := time.Now()
	time.Sleep(time.Until(begun.Add(otherFrom)))
	close(stopFirst)
	first.Wait()
	time.Sleep(time.Until(begun.Add(isolationEnd)))
	close(stop)
	second.Wait()
	return w.usesOfIsolated(isolated, changedAt), nil
}

// usesOfIsolated counts the requests that have used what an isolated tenant has made, or the
// other way round, sent after the configuration has to be in force.
func (w *modelWorld) usesOfIsolated(isolated string, changedAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent, crossed := 0, 0
	for _, p := range w.prompts {
		if !p.sentAt.After(changedAt.Add(configApply)) {
			continue
		}
		sent++
		for _, maker := range p.used {
			if maker.tenant != p.tenant && (maker.tenant == isolated || p.tenant == isolated) {
				crossed++
				break
			}
		}
	}
	w.rec.note("of %d requests sent later than %s after configuration 2, %d used cached parts of another tenant, one of the two being isolated", sent, configApply, crossed)
	return crossed > 0
}
