package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/standin"
)

const (
	// callTime is how long a caller waits, which is also what the routes allow.
	callTime = 2500 * time.Millisecond
	// events is the number of events of a stream.
	events = 12
	// thinking is the mean pause between two calls of one caller.
	thinking = 30 * time.Millisecond
)

// kinds of calls with their routes.
var kinds = []struct {
	path, method string
	once, stream bool
}{
	{"/read/x", http.MethodGet, false, false},
	{"/log/x", http.MethodPost, true, false},
	{"/draft/x", http.MethodPost, true, true},
	{"/verdict/x", http.MethodPost, false, true},
}

// caller sends calls over kept connections until the context ends.
func (w *world) caller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(w.o.Seed, uint64(1000+n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[random.IntN(len(kinds))]
		f := w.fronts[random.IntN(len(w.fronts))]
		w.call(client, f, fmt.Sprintf("c%d-%d", n, i), kind.method, kind.path, kind.once, kind.stream)
		time.Sleep(thinking/2 + time.Duration(random.Int64N(int64(thinking))))
	}
}

// keyHolder sends calls with the key of the configuration in force or of the
// version before, until the context ends.
func (w *world) keyHolder(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.o.Seed, 2))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		f := w.fronts[random.IntN(len(w.fronts))]
		w.tryKey(ctx, client, f, fmt.Sprintf("k-%d", i), max(int(w.version.Load())-random.IntN(2), 1))
		time.Sleep(thinking/2 + time.Duration(random.Int64N(int64(thinking))))
	}
}

func (w *world) tryKey(ctx context.Context, client *http.Client, f *front, id string, version int) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := standin.PlatformCall{
		ID: id, Method: http.MethodGet, Address: f.callers.address(), Host: host, Path: "/read/x", Key: keyOf(version),
		Wait: callTime, Body: strings.NewReader("body of " + id),
	}.Request(ctx)
	if err != nil {
		w.ledger.note(entry{id: id, broken: err.Error()})
		return
	}
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return // a connection that breaks promises nothing
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusUnauthorized {
		w.ledger.note(entry{id: id, front: f.name, keyed: true, version: version, accepted: resp.StatusCode == http.StatusOK, sent: sent})
	}
}

func (w *world) call(client *http.Client, f *front, id, method, path string, once, stream bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	prompt := ""
	if stream {
		prompt = soundPrompt(id)
	}
	req, err := standin.PlatformCall{
		ID: id, Method: method, Address: f.callers.address(), Host: host, Path: path, Key: apiKey, Wait: callTime, Body: strings.NewReader("body of " + id),
		Prompt: prompt,
	}.Request(ctx)
	if err != nil {
		w.ledger.note(entry{id: id, broken: err.Error()})
		return
	}
	w.ledger.note(entry{id: id, front: f.name, once: once, tried: true})
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		w.noteClosed(f, id, begun, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.checkResponse(id, resp, stream)
}

// checkResponse checks the response of a call and notes what it promises.
func (w *world) checkResponse(id string, resp *http.Response, stream bool) {
	if got := standin.PlatformID(resp.Header); got != id {
		w.ledger.note(entry{id: id, broken: "got the answer of " + got})
		return
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		w.ledger.note(entry{id: id, promised: true})
	case resp.StatusCode/100 == 4:
		w.ledger.note(entry{id: id, broken: fmt.Sprintf("a proper call got status %d", resp.StatusCode)})
	case resp.StatusCode != http.StatusOK:
	case stream:
		w.readStream(id, resp.Body)
	default:
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		if string(body) != "served "+id {
			w.ledger.note(entry{id: id, broken: fmt.Sprintf("answer %q", body)})
			return
		}
		w.ledger.note(entry{id: id, served: true})
	}
}

// readStream checks that events come once and in order, and that a stream that
// ends whole has all of them.
func (w *world) readStream(id string, body io.Reader) {
	scanner := bufio.NewScanner(body)
	last := 0
	for scanner.Scan() {
		var n int
		line := scanner.Text()
		if _, err := fmt.Sscanf(line, "id: %d", &n); err == nil {
			if n != last+1 {
				w.ledger.note(entry{id: id, broken: fmt.Sprintf("event %d after %d", n, last)})
				return
			}
			last = n
			continue
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok && text != fmt.Sprintf("%s event %d", id, last) {
			w.ledger.note(entry{id: id, broken: fmt.Sprintf("event %d holds %q", last, text)})
			return
		}
	}
	if scanner.Err() != nil {
		return // the stream broke off and does not look whole
	}
	if last != events {
		w.ledger.note(entry{id: id, broken: fmt.Sprintf("stream ends as whole after event %d", last)})
		return
	}
	w.ledger.note(entry{id: id, served: true})
}
