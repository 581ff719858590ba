package standin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
)

// ExpectedAnswer returns the whole answer to a request.
func ExpectedAnswer(salt, model, prompt string, maxTokens int) string {
	var text strings.Builder
	seed := answerSeed(salt, model, prompt)
	for i := range maxTokens {
		text.WriteString(answerToken(seed, i))
	}
	return text.String()
}

func answerSeed(salt, model, prompt string) [sha256.Size]byte {
	return sha256.Sum256([]byte(salt + "\x00" + model + "\x00" + prompt))
}

func answerToken(seed [sha256.Size]byte, i int) string {
	digits := strconv.FormatUint(xxhash.Sum64(binary.LittleEndian.AppendUint64(seed[:], uint64(i)))|1<<63, 36)
	return digits[len(digits)-TokenBytes+1:] + " "
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req engine.CompletionRequest
	err := json.NewDecoder(r.Body).Decode(&req)
	if err != nil || !req.Stream || req.MaxTokens < 1 || req.ResumeFrom < 0 || req.ResumeFrom > req.MaxTokens {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	run := &engineRun{
		req: req, seed: answerSeed(req.CacheSalt, req.Model, req.Prompt),
		ready: make(chan struct{}), cancel: cancel, slowdown: 1,
	}
	status := http.StatusOK
	if !e.owner.do(func() { status = e.begin(run) }) {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		http.Error(w, "engine does not run this request", status)
		return
	}
	finished := false
	defer func() { e.owner.do(func() { e.close(run, finished) }) }()
	finished = e.run(ctx, w, run)
	if !finished {
		panic(http.ErrAbortHandler)
	}
}

// begin queues a run and returns its status.
func (e *Engine) begin(run *engineRun) int {
	base, _, _ := strings.Cut(run.req.Model, "+")
	if !slices.Contains(e.loaded, base) {
		return http.StatusNotFound
	}
	if e.o.MaxQueue > 0 && len(e.waiting) >= e.o.MaxQueue {
		return http.StatusServiceUnavailable
	}
	e.ledger.Requests++
	if e.role == "drained" {
		e.ledger.WhileDrained++
	}
	inFlight := len(e.runs) + 1
	if e.o.ColdLimit > 0 && inFlight > e.o.ColdLimit && time.Now().Before(e.coldUntil) {
		e.ledger.ColdOverload++
		if inFlight > coldFailMultiple*e.o.ColdLimit {
			return http.StatusInternalServerError
		}
		run.slowdown *= max(e.o.ColdSlowdown, 1)
	}
	if e.faulty(run, base, inFlight) {
		return http.StatusInternalServerError
	}
	run.other, e.lastRun = e.lastRun, &engineRun{req: run.req, seed: run.seed}
	e.runSeq++
	run.seq = e.runSeq
	e.runs[run] = true
	e.waiting = append(e.waiting, run)
	e.startRuns()
	return http.StatusOK
}

func (e *Engine) faulty(run *engineRun, base string, inFlight int) bool {
	fault, ok := e.faults[base]
	if !ok || time.Now().Before(fault.from) || inFlight < fault.MinInFlight {
		return false
	}
	if fault.Match != nil && !fault.Match(run.req) {
		return false
	}
	run.slowdown *= max(fault.Slowdown, 1)
	run.cutAfter = fault.CutAfter
	return fault.Fail
}

// startRuns fills the batch, in order of priority and then of arrival.
func (e *Engine) startRuns() {
	slices.SortFunc(e.waiting, func(a, b *engineRun) int {
		if a.req.Priority != b.req.Priority {
			return a.req.Priority - b.req.Priority
		}
		return int(a.seq) - int(b.seq)
	})
	for len(e.waiting) > 0 && int(e.running.Load()) < e.o.MaxBatch {
		run := e.waiting[0]
		e.waiting = e.waiting[1:]
		run.started = true
		e.running.Add(1)
		close(run.ready)
	}
	e.sampleLoad()
}

// close ends a run that has not ended, and counts those that were not finished.
func (e *Engine) close(run *engineRun, finished bool) {
	if !run.ended {
		e.end(run)
	}
	if !finished {
		e.ledger.Cancelled++
	}
}

func (e *Engine) end(run *engineRun) {
	run.ended = true
	delete(e.runs, run)
	if run.started {
		e.running.Add(-1)
	} else {
		e.waiting = slices.DeleteFunc(e.waiting, func(other *engineRun) bool { return other == run })
	}
	e.startRuns()
}

// run computes and streams the answer; it reports whether all was sent.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, run *engineRun) bool {
	select {
	case <-run.ready:
	case <-ctx.Done():
		return false
	}
	cached := 0
	if !e.owner.do(func() { cached = e.usePrefix(run) }) {
		return false
	}
	uncached := len(run.req.Prompt) - cached + run.req.ResumeFrom*TokenBytes
	if e.o.PrefillRate > 0 && !duty.Pause(ctx, time.Duration(run.slowdown*float64(uncached)/e.o.PrefillRate*float64(time.Second))) {
		return false
	}
	if !e.owner.do(func() { e.storePrompt(run) }) {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := run.req.ResumeFrom; i < run.req.MaxTokens; i++ {
		step := e.o.TokenTime + time.Duration(e.running.Load())*e.o.TokenTimePerRun
		if !duty.Pause(ctx, time.Duration(run.slowdown*float64(step))) || !e.send(w, run, i) {
			return false
		}
		if sent := i + 1 - run.req.ResumeFrom; run.cutAfter > 0 && sent >= run.cutAfter {
			return false
		}
	}
	// The run ends before its answer does, so that whoever has read the answer
	// finds the load without it.
	if !e.owner.do(func() { e.end(run) }) {
		return false
	}
	reason := "length"
	usage := engine.Usage{
		PromptTokens: tokens(len(run.req.Prompt)), CompletionTokens: run.req.MaxTokens - run.req.ResumeFrom,
		CachedTokens: tokens(cached),
	}
	return sendChunk(w, run.req, engine.Choice{FinishReason: &reason}, &usage) && sendEvent(w, []byte("[DONE]"))
}

func tokens(textBytes int) int { return (textBytes + TokenBytes - 1) / TokenBytes }

func (e *Engine) send(w http.ResponseWriter, run *engineRun, i int) bool {
	if other := run.other; other != nil && e.crossing.Load() {
		run = other
	}
	seed := run.seed
	if run.damaged {
		seed = answerSeed("damaged", run.req.Model, run.req.Prompt)
	}
	return sendChunk(w, run.req, engine.Choice{Text: answerToken(seed, i)}, nil)
}

func sendChunk(w http.ResponseWriter, req engine.CompletionRequest, choice engine.Choice, usage *engine.Usage) bool {
	data, err := json.Marshal(engine.CompletionChunk{
		ID: req.RequestID, Object: "text_completion", Model: req.Model, Choices: []engine.Choice{choice}, Usage: usage,
	})
	return err == nil && sendEvent(w, data)
}

func sendEvent(w http.ResponseWriter, data []byte) bool {
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
