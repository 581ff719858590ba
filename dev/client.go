package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
)

const (
	// callTimeout is the deadline that the callers state.
	callTimeout = 20 * time.Second
	// promptTries and recordTries bound how often a caller sends one call.
	promptTries = 3
	recordTries = 6
	retryPause  = 250 * time.Millisecond
)

// result is what a caller saw of one call.
type result struct {
	item workItem
	// whole is set when the whole answer arrived.
	whole bool
	// notRun is set when every try was refused as not run.
	notRun bool
	wrong  bool
	// cutByStop is set when a stream was cut by a planned stop of its entry.
	cutByStop  bool
	firstToken time.Duration
	gaps       []time.Duration
	usage      engine.Usage
	problem    string
}

// callers send the workload to the entries, as a balancer would spread it.
type callers struct {
	d       *Deployment
	http    *http.Client
	entries []target
	next    atomic.Uint64
	keys    map[core.WorkspaceID]string
}

// target is an entry as the balancer sees it.
type target struct {
	url  string
	unit *unit
}

// pick returns the next live entry in turn, as a balancer with health checks
// does.
func (c *callers) pick() target {
	n := uint64(len(c.entries))
	at := c.next.Add(1)
	for i := range n {
		t := c.entries[(at+i)%n]
		if unitState(t.unit.state.Load()) == unitLive {
			return t
		}
	}
	return c.entries[at%n]
}

// errNotRun is a refusal that says that nothing ran.
var errNotRun = errors.New("refused as not run")

// send carries out one call of the workload with a caller's retries.
func (c *callers) send(ctx context.Context, item workItem) result {
	r := result{item: item, notRun: true}
	tries, try := promptTries, c.prompt
	if item.kind != kindPrompt {
		tries, try = recordTries, c.service
	}
	started := time.Now()
	for i := range tries {
		if i > 0 && !duty.Pause(ctx, retryPause) {
			break
		}
		err := try(ctx, &r, started)
		if err == nil {
			r.whole, r.notRun = true, false
			return r
		}
		r.problem = err.Error()
		r.notRun = r.notRun && errors.Is(err, errNotRun)
	}
	return r
}

func (c *callers) request(ctx context.Context, to target, method, path string, item *workItem, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, to.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.keys[item.workspace])
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Waxwingtide-Timeout-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if item.kind == kindRecord {
		req.Header.Set("Idempotency-Key", recordKey(item.number))
	}
	return httplimit.Do(c.http, req)
}

func recordKey(number int) string { return "rec-" + strconv.Itoa(number) }

// refusalOf reads an error answer.
func refusalOf(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return err
	}
	var refusal struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &refusal) == nil && refusal.Error.Type == "not_run" {
		return errors.Wrap(errNotRun, refusal.Error.Message)
	}
	return errors.Newf("status %d: %s", resp.StatusCode, body)
}

// prompt sends a prompt once and follows its stream.
func (c *callers) prompt(ctx context.Context, r *result, started time.Time) error {
	tier := "priority"
	if r.item.class == core.Deferrable {
		tier = "flex"
	}
	body, err := json.Marshal(map[string]any{
		"model": c.d.Model, "prompt": r.item.prompt, "max_tokens": r.item.tokens, "stream": true, "service_tier": tier,
	})
	if err != nil {
		return err
	}
	to := c.pick()
	resp, err := c.request(ctx, to, http.MethodPost, "/v1/completions", &r.item, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp)
	}
	stopping := to.unit.stopping.Load()
	if err := c.follow(resp.Body, r, started); err != nil {
		r.cutByStop = stopping || to.unit.stopping.Load()
		return err
	}
	return nil
}

// follow reads a stream to its end mark and checks the answer.
func (c *callers) follow(body io.Reader, r *result, started time.Time) error {
	var text strings.Builder
	var model string
	last := time.Time{}
	r.gaps = r.gaps[:0]
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.wrong = r.wrong || text.String() != c.expected(&r.item, model)
			return nil
		}
		var chunk engine.CompletionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if len(chunk.Choices) == 0 {
			return errors.Newf("stream ended with an error: %s", data)
		}
		model = chunk.Model
		if chunk.Usage != nil {
			r.usage = *chunk.Usage
			continue
		}
		now := time.Now()
		if last.IsZero() {
			r.firstToken = now.Sub(started)
		} else {
			r.gaps = append(r.gaps, now.Sub(last))
		}
		last = now
		text.WriteString(chunk.Choices[0].Text)
	}
	return errors.Newf("stream was cut after %d bytes", text.Len())
}

// expected is the answer that the named weight version gives to the caller's
// own prompt in its own workspace.
func (c *callers) expected(item *workItem, model string) string {
	name, version, _ := strings.Cut(model, "@")
	scope := core.CacheScope{Workspace: item.workspace, Model: core.ModelID(name), Version: core.WeightVersion(version)}
	return standin.ExpectedAnswer(scope.Salt(), model, item.prompt, item.tokens)
}

// service sends a call to the plain service once.
func (c *callers) service(ctx context.Context, r *result, _ time.Time) error {
	method := http.MethodGet
	if r.item.kind == kindRecord {
		method = http.MethodPost
	}
	resp, err := c.request(ctx, c.pick(), method, "/services/"+string(c.d.Service)+r.item.path, &r.item, []byte(r.item.body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusalOf(resp)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
