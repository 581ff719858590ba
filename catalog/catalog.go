// Package catalog holds what the operators have configured and which upstreams
// are listed. Its types are immutable once built and perform no I/O.
package catalog

import (
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// WeightNumber orders the weight versions of one model.
type WeightNumber uint64

// Target is a service that a route sends calls to.
type Target struct {
	Service core.ServiceID
	// Weight is the target's share relative to the route's other targets.
	Weight float64
}

// Route says how calls of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   core.CallKind
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// Public routes need no key.
	Public  bool
	Targets []Target
	// Timeout is the longest time until the answer, Aim the time in which it has
	// its full value.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority is the rank of the route's calls; 0 is served first.
	Priority int
	// MaxAttempts is the number of upstreams at which one call may run.
	MaxAttempts int
}

// Repeatable reports whether a call may run again after an attempt that may
// have run.
func (r *Route) Repeatable() bool {
	return r.Kind == core.Idempotent || r.Kind == core.Stream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots int
	// CacheTokens is the KV cache of one upstream, TokenBytes the size of one
	// token in it, LinkMbps the rate of its transfers in megabits a second.
	CacheTokens int
	TokenBytes  int
	LinkMbps    float64
	Models      []core.ModelID
	// EventReaders is how many callers may wait for cache events of one server.
	EventReaders int
}

// Service is a group of upstreams that serve the same calls.
type Service struct {
	ID core.ServiceID
	// Engine is nil for plain services.
	Engine *Engine
	// ColdPerSecond is the rate that one cold upstream bears; 0 means no limit.
	ColdCallsPerSecond float64
}

// KeptStore is a store of kept KV cache. It drops nothing by itself.
type CacheStore struct {
	ID             core.ServiceID
	Address        string
	Domain         core.FailureDomain
	CapacityTokens int
	LinkMbps       float64
	// FirstDelay is added to every transfer.
	TransferDelay time.Duration
	// EventReaders is how many callers may wait for the store's events.
	EventReaders int
}

// Workspace is a customer with its keys.
type Workspace struct {
	ID   core.WorkspaceID
	Keys []string
	// Priority takes precedence over that of the route; nil means none is set.
	Priority *int
	// Isolated workspaces share no cached part with others.
	Isolated bool
}

// Limits bound what callers may send. Zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long the head of a request may take from its first byte
	// on, IdleTimeout how long a caller's connection may stay without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	// Epoch orders configurations; a larger one replaces a smaller one.
	Epoch       core.Epoch
	Routes      []Route
	Services    map[core.ServiceID]*Service
	CacheStores []CacheStore
	Workspaces  []Workspace
	Limits      Limits

	routes map[string][]*Route
	keys   map[string]*Workspace
}

// Index builds the look-up tables. It is called once, before the configuration
// is shared.
func (c *Config) Index() *Config {
	c.routes = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	c.keys = make(map[string]*Workspace)
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.keys[key] = &c.Workspaces[i]
		}
	}
	return c
}

// Route returns the route with the longest prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// NeedsKeys reports whether calls on routes that are not public need a key.
func (c *Config) NeedsKeys() bool { return len(c.Workspaces) > 0 }

// Workspace returns the holder of a key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.keys[key] }

// Upstream is a listed model server or instance of a plain service.
type Upstream struct {
	ID      core.UpstreamID
	Service core.ServiceID
	Address string
	Domain  core.FailureDomain
	// Software is the version of the program that the upstream runs.
	Software string
	Slots    int
	Draining bool
	// ColdFor is how much longer the upstream was cold when it was listed.
	ColdRemaining time.Duration
	// Weights holds the weight version of each model.
	Weights map[core.ModelID]WeightNumber
	// Born is the start of the upstream's incarnation in Unix milliseconds; 0
	// when it is not known.
	StartedAtMs int64
}

// Listed is an upstream with the revision of its entry in the list.
type ListedUpstream struct {
	*Upstream
	Revision uint64
}

// Naming is the time at which the operator named a weight version.
type RequestedVersion struct {
	Version WeightNumber
	// Since is zero when the version was named before this process knew any row.
	RequestedAt time.Time
}

// Namings are the weight versions that the operator named for a model, in the
// order of their versions.
type WeightHistory []RequestedVersion

// Newest returns the last naming; the zero value when there is none.
func (n WeightHistory) Newest() RequestedVersion {
	if len(n) == 0 {
		return RequestedVersion{}
	}
	return n[len(n)-1]
}

// Above returns the first naming of a version above the given one, which is
// when that one became old.
func (n WeightHistory) FirstAbove(version WeightNumber) (RequestedVersion, bool) {
	for _, naming := range n {
		if naming.Version > version {
			return naming, true
		}
	}
	return RequestedVersion{}, false
}

// Rollout asks to move a service to a software version.
type Rollout struct {
	Service core.ServiceID
	To      string
	// Within is the time in which the move has to be complete.
	MaxDuration time.Duration
}

// RolloutState is how far a rollout has come, as the operator is told.
type RolloutState uint8

// States of a rollout.
const (
	// Untold means that the operator has been told nothing yet.
	Unreported RolloutState = iota
	Running
	// Completed means that all calls go to the new version.
	Completed
	// RolledBack means that the new version gets no more calls.
	RolledBack
)

// String returns the name of the state as used in logs.
func (s RolloutState) String() string {
	return [...]string{"untold", "running", "completed", "rolled_back"}[s]
}

// RolloutStatus is what the operator is told of a rollout.
type RolloutStatus struct {
	Service core.ServiceID
	To      string
	State   RolloutState
}
