package bundle

import (
	"slices"
	"strings"

	"waxwingtide.example/waxwingtide/core"
)

// Index is a bundle with look-up tables. It is immutable after NewIndex.
type Index struct {
	Bundle     *Bundle
	Models     map[core.ModelID]*Model
	Upstreams  map[core.UpstreamID]*Upstream
	Services   map[core.ServiceID]*Service
	Workspaces map[core.WorkspaceID]*Workspace
	// Engines lists the upstreams of each model in the bundle's order.
	Engines map[core.ModelID][]*Upstream
	// Instances lists the upstreams of each service in the bundle's order.
	Instances map[core.ServiceID][]*Upstream
	keys      map[string]Identity
}

// Identity is the workspace and caller that an API key belongs to.
type Identity struct {
	Workspace core.WorkspaceID
	Caller    core.CallerID
}

// NewIndex builds the look-up tables of a bundle.
func NewIndex(b *Bundle) *Index {
	x := &Index{
		Bundle:     b,
		Models:     make(map[core.ModelID]*Model, len(b.Models)),
		Upstreams:  make(map[core.UpstreamID]*Upstream, len(b.Upstreams)),
		Services:   make(map[core.ServiceID]*Service, len(b.Services)),
		Workspaces: make(map[core.WorkspaceID]*Workspace, len(b.Workspaces)),
		Engines:    make(map[core.ModelID][]*Upstream),
		Instances:  make(map[core.ServiceID][]*Upstream),
		keys:       make(map[string]Identity),
	}
	for i := range b.Models {
		x.Models[b.Models[i].ID] = &b.Models[i]
	}
	for i := range b.Services {
		x.Services[b.Services[i].ID] = &b.Services[i]
	}
	for i := range b.Upstreams {
		u := &b.Upstreams[i]
		x.Upstreams[u.ID] = u
		if u.Kind == KindEngine {
			x.Engines[u.Model] = append(x.Engines[u.Model], u)
		} else {
			x.Instances[u.Service] = append(x.Instances[u.Service], u)
		}
	}
	for i := range b.Workspaces {
		w := &b.Workspaces[i]
		x.Workspaces[w.ID] = w
		for _, c := range w.Callers {
			x.keys[strings.ToLower(c.KeySHA256)] = Identity{w.ID, c.ID}
		}
	}
	return x
}

// Authenticate returns the owner of the API key with this SHA-256, given in
// lower-case hexadecimal. The look-up compares hashes, not keys, so its timing
// says nothing about a key.
func (x *Index) Authenticate(keySHA256 string) (Identity, bool) {
	id, ok := x.keys[keySHA256]
	return id, ok
}

// MayRepeat reports whether a call to the service may be sent more than once.
func (s *Service) MayRepeat(method, path string) bool {
	for _, rule := range s.NonRepeatable {
		m, prefix, _ := strings.Cut(rule, " ")
		if m == method && strings.HasPrefix(path, prefix) {
			return false
		}
	}
	return true
}

// MayUse reports whether the workspace may use the model with the adapter; an
// empty adapter is the base model.
func (w *Workspace) MayUse(m *Model, adapter core.AdapterID) bool {
	if !slices.Contains(w.Models, m.ID) {
		return false
	}
	if adapter == "" {
		return true
	}
	if len(w.Adapters) > 0 && !slices.Contains(w.Adapters, adapter) {
		return false
	}
	return slices.Contains(m.Adapters, adapter)
}
