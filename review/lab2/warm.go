//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"waxwingtide.example/waxwingtide/standin"
)

const (
	// contactTime is contact-ms.
	contactTime = 3 * time.Second
	// allowedDeadly is how many requests with the part may reach servers later than
	// contact-ms after the fifth crash.
	allowedDeadly = 3
	// firstCrashes is the number of crashes after which the time counts.
	firstCrashes = 5
	modelServers = 12
	// soundRate and deadlyRate are calls a second, at each front and in all.
	soundRate  = 1.0
	deadlyRate = 1.15
	restartGap = time.Second
	deadlyFor  = 20 * time.Second
)

// deadlyLog counts the requests with deadlyPart and the crashes.
type deadlyLog struct {
	w  *world
	mu sync.Mutex
	// inTouchFrom is when all machines are in touch again.
	inTouchFrom time.Time
	crashes     int
	fifthAt     time.Time
	late        int
}

func (l *deadlyLog) reached(e *engine, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.fifthAt.IsZero() || now.Sub(l.fifthAt) <= contactTime || now.Before(l.inTouchFrom) {
		return
	}
	l.late++
	l.w.note("%s with the part reaches server %s, %.3f s after the fifth crash", id, e.id, now.Sub(l.fifthAt).Seconds())
}

func (l *deadlyLog) crashed(*engine, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes++; l.crashes == firstCrashes {
		l.fifthAt = time.Now()
		l.w.note("the fifth crash")
	}
}

// promptCaller sends prompts to fronts that may be down.
type promptCaller struct {
	w            *world
	served, lost atomic.Int64
	group        sync.WaitGroup
}

func (c *promptCaller) send(f *front, id, middle string) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		call := standin.PlatformCall{
			ID: id, Method: http.MethodPost, Host: host, Path: verdictPath, Key: key, Wait: 6 * time.Second,
			Prompt: fmt.Sprintf("first%d:2520,%s:5000,last-%s:1670", rand.IntN(4), middle, id),
		}
		if r := newCaller(f).send(c.w.ctx, call); r.err == nil && r.status == http.StatusOK {
			c.served.Add(1)
		} else if middle != deadlyPart {
			c.lost.Add(1)
		}
	}()
}

// every calls do at random times with a mean rate until the context ends.
func every(ctx context.Context, rate float64, do func(n int)) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		do(n)
	}
}

// runWarm: all fronts are killed and start again. Then requests come with a part that
// crashes servers.
func runWarm(w *world) (bool, error) {
	log := &deadlyLog{w: w}
	var engines []*engine
	for i := range modelServers {
		e, err := w.newEngine(fmt.Sprintf("i-%02d", i+1), zones[i%len(zones)])
		if err != nil {
			return false, err
		}
		e.onDeadly, e.onCrash = log.reached, log.crashed
		engines = append(engines, e)
	}
	w.putModelConfig()
	if err := w.startFronts(zones); err != nil {
		return false, err
	}
	callers := &promptCaller{w: w}
	ctx, stop := context.WithCancel(w.ctx)
	defer stop()
	var current atomic.Pointer[[]*front]
	fronts := w.started()
	current.Store(&fronts)
	var sending sync.WaitGroup
	for i := range zones {
		sending.Add(1)
		go func() {
			defer sending.Done()
			every(ctx, soundRate, func(n int) {
				callers.send((*current.Load())[i], fmt.Sprintf("s%d-%d", i, n), fmt.Sprintf("history%d", rand.IntN(40)))
			})
		}()
	}
	time.Sleep(12 * time.Second)
	if w.trouble {
		w.note("all fronts are killed")
		for _, f := range fronts {
			f.kill()
		}
		time.Sleep(restartGap)
		var again []*front
		for _, f := range fronts {
			if err := f.restart(); err != nil {
				return false, err
			}
			again = append(again, f)
		}
		w.note("all fronts start again")
		log.inTouchFrom = time.Now().Add(contactTime)
		for _, f := range again {
			if err := f.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
	}
	deadly, stopDeadly := context.WithTimeout(ctx, deadlyFor)
	defer stopDeadly()
	every(deadly, deadlyRate, func(n int) {
		callers.send((*current.Load())[rand.IntN(len(zones))], fmt.Sprintf("d-%d", n), deadlyPart)
	})
	stop()
	sending.Wait()
	callers.group.Wait()
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		broken += e.broken
		e.mu.Unlock()
	}
	w.note("clients: %d calls served, %d sound ones not served", callers.served.Load(), callers.lost.Load())
	w.note("%d crashes, which have broken off %d runs of other requests; %d requests with the part came later than contact-ms after the fifth, %d are allowed", log.crashes, broken, log.late, allowedDeadly)
	return log.late > allowedDeadly, nil
}
