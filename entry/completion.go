package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/security"
)

const (
	timeoutHeader    = "Waxwingtide-Timeout-Ms"
	maxTimeout       = 10 * time.Minute
	defaultMaxTokens = 256
	maxTokensLimit   = 32768
	tierUrgent       = "priority"
	tierDeferrable   = "flex"
)

// completionRequest is the body of POST /v1/completions. Other fields of the completions
// protocol are accepted and ignored.
type completionRequest struct {
	Model       string `json:"model"`
	Prompt      string `json:"prompt"`
	MaxTokens   int    `json:"max_tokens"`
	Stream      bool   `json:"stream"`
	ServiceTier string `json:"service_tier"`
}

// promptRequest is a validated request of an authenticated caller.
type promptRequest struct {
	core.Call
	identity    bundle.Identity
	adapter     core.AdapterID
	class       core.Class
	streamed    bool
	weight      int
	maxInFlight int
}

// authenticate returns the identity to which the request's API key belongs.
func authenticate(r *http.Request, view *facts.View) (bundle.Identity, *errorResponse) {
	if hash, ok := security.BearerHash(r.Header.Get("Authorization")); ok {
		if id, found := view.Index.Authenticate(hash); found {
			return id, nil
		}
	}
	return bundle.Identity{}, &errorResponse{
		Status: http.StatusUnauthorized, Type: typeUnauthenticated, Code: "bad_key",
		Message: "API key is missing or not in the bundle in force; send Authorization: Bearer KEY with a key of your workspace",
	}
}

// parsePrompt authenticates the caller and reads and validates the request. timeout is the
// default time until the deadline.
func parsePrompt(r *http.Request, now time.Time, view *facts.View, maxBody int64, timeout time.Duration) (*promptRequest, *errorResponse) {
	id, errResp := authenticate(r, view)
	if errResp != nil {
		return nil, errResp
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if errs.Is(err, errs.Exhausted) {
		return nil, &errorResponse{Status: http.StatusServiceUnavailable, Type: typeNotRun, Code: "memory",
			Message: "requests of all callers exceed their memory; the call has not run; send it again later", RetryAfter: time.Second}
	}
	if err != nil {
		return nil, newInvalidRequestError("body", "request body could not be read; send it again")
	}
	if int64(len(body)) > maxBody {
		return nil, &errorResponse{Status: http.StatusRequestEntityTooLarge, Type: typeInvalid, Code: "body",
			Message: "request body is larger than " + strconv.FormatInt(maxBody, 10) + " bytes; shorten the prompt"}
	}
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, newInvalidRequestError("body", "request body is not a JSON completion request: "+err.Error()+"; see the completions protocol")
	}
	p := &promptRequest{
		Call: core.Call{
			ReceivedAt: now, Method: r.Method, Host: r.Host, URI: r.RequestURI, Path: r.URL.Path,
			Prompt: core.Prompt{Text: req.Prompt, MaxOutputTokens: req.MaxTokens}, Header: r.Header, Body: body,
		},
		identity: id, streamed: req.Stream,
	}
	workspace := view.Index.Workspaces[id.Workspace]
	p.weight = max(workspace.Weight, 1)
	p.maxInFlight = workspace.MaxInFlight
	for _, check := range []func() *errorResponse{
		func() *errorResponse { return p.setModel(req.Model, workspace, view.Index) },
		func() *errorResponse { return p.checkPromptAndTokens() },
		func() *errorResponse { return p.setClass(req.ServiceTier, workspace) },
		func() *errorResponse { return p.setTimeout(r.Header.Get(timeoutHeader), timeout) },
	} {
		if errResp := check(); errResp != nil {
			return nil, errResp
		}
	}
	return p, nil
}

func (p *promptRequest) setModel(name string, workspace *bundle.Workspace, index *bundle.Index) *errorResponse {
	model, adapter, _ := strings.Cut(name, "+")
	p.Prompt.Model, p.adapter = core.ModelID(model), core.AdapterID(adapter)
	m := index.Models[p.Prompt.Model]
	if m == nil || !slices.Contains(workspace.Models, p.Prompt.Model) {
		return newInvalidRequestError("model", "model "+strconv.Quote(name)+" is not available to this workspace; name one of the models that the bundle allows for it")
	}
	if !workspace.MayUse(m, p.adapter) {
		return newInvalidRequestError("model", "adapter "+strconv.Quote(adapter)+" is not available to this workspace; name one of the adapters that the bundle allows for it")
	}
	return nil
}

// checkPromptAndTokens checks the prompt and max_tokens, and sets the default of max_tokens.
func (p *promptRequest) checkPromptAndTokens() *errorResponse {
	if p.Prompt.Text == "" {
		return newInvalidRequestError("prompt", "prompt is empty; send a prompt as one string")
	}
	if p.Prompt.MaxOutputTokens == 0 {
		p.Prompt.MaxOutputTokens = defaultMaxTokens
	}
	if p.Prompt.MaxOutputTokens < 0 || p.Prompt.MaxOutputTokens > maxTokensLimit {
		return newInvalidRequestError("max_tokens", "max_tokens is out of range; use 1 to "+strconv.Itoa(maxTokensLimit))
	}
	return nil
}

func (p *promptRequest) setClass(tier string, workspace *bundle.Workspace) *errorResponse {
	switch tier {
	case tierUrgent:
		p.class = core.Urgent
	case tierDeferrable:
		p.class = core.Deferrable
	case "", "auto", "default":
		p.class = workspace.Class()
	default:
		return newInvalidRequestError("service_tier", "service_tier "+strconv.Quote(tier)+" is not supported; use priority, flex or default")
	}
	return nil
}

func (p *promptRequest) setTimeout(header string, timeout time.Duration) *errorResponse {
	p.Deadline = p.ReceivedAt.Add(timeout)
	if header == "" {
		return nil
	}
	ms, err := strconv.Atoi(header)
	if err != nil || ms < 1 || int64(ms) > maxTimeout.Milliseconds() {
		return newInvalidRequestError("timeout", timeoutHeader+" is out of range; use 1 to "+strconv.FormatInt(maxTimeout.Milliseconds(), 10)+" milliseconds")
	}
	p.Deadline = p.ReceivedAt.Add(time.Duration(ms) * time.Millisecond)
	return nil
}
