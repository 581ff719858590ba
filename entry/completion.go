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
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/security"
)

const (
	headerTimeout    = "Waxwingtide-Timeout-Ms"
	maxTimeout       = 10 * time.Minute
	defaultMaxTokens = 256
	maxMaxTokens     = 32768
	tierUrgent       = "priority"
	tierDeferrable   = "flex"
)

// completionRequest is the body of POST /v1/completions. Fields of the usual
// protocol that this system does not act on are accepted and ignored.
type completionRequest struct {
	Model       string `json:"model"`
	Prompt      string `json:"prompt"`
	MaxTokens   int    `json:"max_tokens"`
	Stream      bool   `json:"stream"`
	ServiceTier string `json:"service_tier"`
}

// prompt is a checked request of an authenticated caller.
type prompt struct {
	core.Call
	identity bundle.Identity
	adapter  core.AdapterID
	class    core.Class
	stream   bool
	weight   int
	limit    int
}

// authenticate finds the owner of the request's API key.
func authenticate(r *http.Request, view *facts.View) (bundle.Identity, *refusal) {
	if hash, ok := security.BearerHash(r.Header.Get("Authorization")); ok {
		if id, found := view.Index.Authenticate(hash); found {
			return id, nil
		}
	}
	return bundle.Identity{}, &refusal{
		Status: http.StatusUnauthorized, Type: typeUnauthenticated, Code: "bad_key",
		Message: "API key is missing or not in the bundle in force; send Authorization: Bearer KEY with a key of your workspace",
	}
}

// parsePrompt reads and checks the body of a completion.
func parsePrompt(r *http.Request, now time.Time, view *facts.View, maxBody int64, timeout time.Duration) (*prompt, *refusal) {
	id, refused := authenticate(r, view)
	if refused != nil {
		return nil, refused
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return nil, invalid("body", "request body could not be read; send it again")
	}
	if int64(len(body)) > maxBody {
		return nil, &refusal{Status: http.StatusRequestEntityTooLarge, Type: typeInvalid, Code: "body",
			Message: "request body is larger than " + strconv.FormatInt(maxBody, 10) + " bytes; shorten the prompt"}
	}
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, invalid("body", "request body is not a JSON completion request: "+err.Error()+"; see the completions protocol")
	}
	p := &prompt{
		Call: core.Call{
			ReceivedAt: now, Method: r.Method, Host: r.Host, URI: r.RequestURI, Path: r.URL.Path,
			Prompt: core.Prompt{Text: req.Prompt, MaxOutputTokens: req.MaxTokens}, Header: r.Header, Body: body,
		},
		identity: id, stream: req.Stream,
	}
	workspace := view.Index.Workspaces[id.Workspace]
	p.weight = max(workspace.Weight, 1)
	p.limit = workspace.MaxInFlight
	for _, step := range []func() *refusal{
		func() *refusal { return p.setModel(req.Model, workspace, view.Index) },
		func() *refusal { return p.setTokens() },
		func() *refusal { return p.setClass(req.ServiceTier, workspace) },
		func() *refusal { return p.setTimeout(r.Header.Get(headerTimeout), timeout) },
	} {
		if refused := step(); refused != nil {
			return nil, refused
		}
	}
	return p, nil
}

func (p *prompt) setModel(name string, w *bundle.Workspace, x *bundle.Index) *refusal {
	model, adapter, _ := strings.Cut(name, "+")
	p.Prompt.Model, p.adapter = core.ModelID(model), core.AdapterID(adapter)
	m := x.Models[p.Prompt.Model]
	if m == nil || !slices.Contains(w.Models, p.Prompt.Model) {
		return invalid("model", "model "+strconv.Quote(name)+" is not served to this workspace; name one of the bundle's models for it")
	}
	if !w.MayUse(m, p.adapter) {
		return invalid("model", "adapter "+strconv.Quote(adapter)+" is not served to this workspace; name one of the bundle's adapters for it")
	}
	return nil
}

func (p *prompt) setTokens() *refusal {
	if p.Prompt.Text == "" {
		return invalid("prompt", "prompt is empty; send a prompt as one string")
	}
	if p.Prompt.MaxOutputTokens == 0 {
		p.Prompt.MaxOutputTokens = defaultMaxTokens
	}
	if p.Prompt.MaxOutputTokens < 0 || p.Prompt.MaxOutputTokens > maxMaxTokens {
		return invalid("max_tokens", "max_tokens is out of range; use 1 to "+strconv.Itoa(maxMaxTokens))
	}
	return nil
}

func (p *prompt) setClass(tier string, w *bundle.Workspace) *refusal {
	switch tier {
	case tierUrgent:
		p.class = core.Urgent
	case tierDeferrable:
		p.class = core.Deferrable
	case "", "auto", "default":
		p.class = w.Class()
	default:
		return invalid("service_tier", "service_tier "+strconv.Quote(tier)+" is not known; use priority, flex or default")
	}
	return nil
}

func (p *prompt) setTimeout(header string, timeout time.Duration) *refusal {
	p.Deadline = p.ReceivedAt.Add(timeout)
	if header == "" {
		return nil
	}
	ms, err := strconv.Atoi(header)
	if err != nil || ms < 1 || int64(ms) > maxTimeout.Milliseconds() {
		return invalid("timeout", headerTimeout+" is out of range; use 1 to "+strconv.FormatInt(maxTimeout.Milliseconds(), 10)+" milliseconds")
	}
	p.Deadline = p.ReceivedAt.Add(time.Duration(ms) * time.Millisecond)
	return nil
}
