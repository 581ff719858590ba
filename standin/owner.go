package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/ring"
)

// stateOwner runs functions one at a time on one goroutine, which owns the
// state that they use.
type stateOwner struct {
	work   *ring.Ring[func()]
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
}

func newStateOwner() *stateOwner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &stateOwner{work: ring.New[func()](256), ctx: ctx, cancel: cancel}
	o.group.Go(func() {
		for {
			f, err := o.work.Receive(ctx)
			if err != nil {
				return
			}
			f()
		}
	})
	return o
}

// do runs f and reports whether it has run; after close it does not.
func (o *stateOwner) do(f func()) bool {
	done := make(chan struct{})
	if o.work.Send(o.ctx, func() { f(); close(done) }) != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-o.ctx.Done():
		return false
	}
}

func (o *stateOwner) close() {
	o.cancel()
	o.group.Wait()
}

// reply is the status and the JSON body of an answer.
type reply struct {
	status int
	body   any
}

// handle decodes the request body, unless the method is GET, has the owner serve
// it and encodes the reply.
func handle[Req any](o *stateOwner, serve func(*http.Request, Req) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if r.Method != http.MethodGet && json.NewDecoder(r.Body).Decode(&req) != nil {
			http.Error(w, "malformed request", http.StatusBadRequest)
			return
		}
		var answer reply
		if !o.do(func() { answer = serve(r, req) }) {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(answer.status)
		if answer.body != nil {
			_ = json.NewEncoder(w).Encode(answer.body)
		}
	}
}

// timed is a value that is shown later than it is recorded.
type timed[T any] struct {
	value T
	at    time.Time
}

// record appends a value and drops the oldest ones beyond the limit.
func record[T any](list []timed[T], value T, limit int) []timed[T] {
	list = append(list, timed[T]{value: value, at: time.Now()})
	return list[max(0, len(list)-limit):]
}

// shown returns the values that are at least as old as the lag.
func shown[T any](list []timed[T], lag time.Duration) []timed[T] {
	until := time.Now().Add(-lag)
	n, _ := slices.BinarySearchFunc(list, until, func(t timed[T], until time.Time) int {
		if t.at.After(until) {
			return 1
		}
		return -1
	})
	return list[:n]
}
