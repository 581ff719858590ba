package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/standin"
)

const (
	// badInterval is the interval of the calls with a part that crashes servers.
	badInterval = 600 * time.Millisecond
	// downTime is how long a crashed server refuses connections, silentTime how long one is
	// silent that does not refuse them.
	downTime   = time.Second
	silentTime = time.Second
	// crashesKnown is the number of crashes after which, and partBound the time within
	// which, calls with a part no longer reach servers.
	crashesKnown = 5
	partBound    = 4 * time.Second
	// maxLateArrivals is the number of calls with a part that may reach servers later.
	maxLateArrivals = 3
	// partTime is the shortest time for which calls with a bad part are sent.
	partTime = 10 * time.Second
	// silentSuffix ends the names of parts on which servers fall silent.
	silentSuffix = "-silent"
	// restartSlack is the time after a restart or a freeze in which a front may send calls
	// that the others no longer send.
	restartSlack = time.Second
)

// badPart is a part of prompts that crashes servers.
type badPart struct {
	name string
	// silent is set when the servers fall silent instead of refusing connections.
	silent bool
}

// partRecord is what was seen of a bad part.
type partRecord struct {
	crashes  []time.Time
	arrivals []arrival
}

// arrival is a call with a bad part that has reached a server.
type arrival struct {
	front string
	at    time.Time
}

// soundPrompt is the prompt of a call without a bad part.
func soundPrompt(id string) string { return "common:50,own-" + id + ":5" }

// badPartOf returns the bad part in a prompt.
func badPartOf(prompt string) (badPart, bool) {
	for name := range strings.SplitSeq(prompt, ",") {
		name, _, _ = strings.Cut(name, ":")
		if strings.HasPrefix(name, "bad-") {
			return badPart{name: name, silent: strings.HasSuffix(name, silentSuffix)}, true
		}
	}
	return badPart{}, false
}

// sendBadPart sends calls with a new bad part until the context ends.
func (w *world) sendBadPart(ctx context.Context, name string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second}}
	defer client.CloseIdleConnections()
	var calls conc.WaitGroup
	defer calls.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		f := w.fronts[i%len(w.fronts)]
		calls.Go(func() { w.callBad(ctx, client, f, name, fmt.Sprintf("%s-%d", name, i)) })
		duty.Pause(ctx, badInterval)
	}
}

func (w *world) callBad(ctx context.Context, client *http.Client, f *front, part, id string) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := standin.PlatformCall{
		ID: id + "@" + f.name, Method: http.MethodPost, Address: f.callers.address(), Host: host, Path: "/verdict/x", Key: apiKey, Wait: callTime,
		Body: strings.NewReader("body"), Prompt: fmt.Sprintf("common:50,%s:20,own-%s:5", part, id),
	}.Request(ctx)
	if err != nil {
		w.ledger.note(entry{id: id, broken: err.Error()})
		return
	}
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// crash lets a server refuse connections or fall silent, and starts its next incarnation.
func (w *world) crash(s *server, part badPart) {
	if !s.down.CompareAndSwap(false, true) {
		return
	}
	defer s.down.Store(false)
	w.noteSpan(begin, s.id)
	if part.silent {
		s.link.set(silent)
		time.Sleep(silentTime)
		s.link.set(resetting)
		time.Sleep(restartPause)
	} else {
		s.link.refuse()
		time.Sleep(downTime)
	}
	s.link.listen()
	s.born.Add(1)
	w.putServer(s, s.draining.Load())
	w.noteSpan(end, s.id)
	w.ledger.note(entry{id: part.name, crashed: true})
}

// missedQuarantine says how many calls with a bad part came too late.
func (r partRecord) missedQuarantine(name string, t *timeline) string {
	if len(r.crashes) < crashesKnown {
		return ""
	}
	known := r.crashes[crashesKnown-1].Add(partBound)
	late := 0
	var text strings.Builder
	for _, a := range r.arrivals {
		if a.at.After(known) && !t.restarted(a.front, a.at) {
			late++
			_, _ = fmt.Fprintf(&text, " %s by %s,", a.at.Sub(known).Round(time.Millisecond), a.front)
		}
	}
	if late <= maxLateArrivals {
		return ""
	}
	return fmt.Sprintf("%s: %d calls reached servers %s after its fifth crash and later:%s", name, late, partBound, text.String())
}

// restarted reports whether a front was killed or suspended shortly before.
func (t *timeline) restarted(front string, at time.Time) bool {
	for _, s := range t.disrupted[front] {
		if s.from.Before(at) && (s.to.IsZero() || at.Sub(s.to) < restartSlack) {
			return true
		}
	}
	return false
}
