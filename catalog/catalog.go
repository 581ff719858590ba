// Package catalog holds the operators' configuration and the list of upstreams.
// Its types are immutable once built and perform no I/O.
package catalog

import (
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// WeightNumber is the number of a weight version of one model. A newer version
// has a higher number.
type WeightNumber uint64

// Target is a service to which a route sends calls.
type Target struct {
	Service core.ServiceID
	// Weight is relative to the weights of the route's other targets. The target
	// receives the fraction Weight divided by the sum of the weights.
	Weight float64
}

// Route defines how calls of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   core.CallKind
	// Resumable streams may continue at another upstream after their last event.
	Resumable bool
	// Public routes need no key.
	Public  bool
	Targets []Target
	// Timeout is the maximum time until the response. TargetLatency is the latency
	// objective: a response that is received later is less useful to the caller.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority is the rank of the route's calls. Rank 0 is served first.
	Priority int
	// MaxRuns is the maximum number of attempts of one call that may have run.
	MaxRuns int
}

// Repeatable reports whether a call may run again after an attempt that may
// have run.
func (r *Route) Repeatable() bool {
	return r.Kind == core.KindIdempotent || r.Kind == core.KindStream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of calls that an upstream runs at the same time.
	Slots int
	// CacheTokens is the capacity of one upstream's KV cache. TokenBytes is the
	// size of one token in the cache, LinkMbps the rate of the upstream's transfers
	// in megabits per second.
	CacheTokens int
	TokenBytes  int
	LinkMbps    float64
	Models      []core.ModelID
	// EventReaders is the maximum number of callers that may wait for cache events
	// of one server. Zero means no limit.
	EventReaders int
}

// Service is a group of upstreams that serve the same calls.
type Service struct {
	ID core.ServiceID
	// Engine is nil for plain services.
	Engine *Engine
	// ColdCallsPerSecond is the call rate that one cold upstream can sustain, or 0 for
	// no limit.
	ColdCallsPerSecond float64
	// ColdStart is the time for which an upstream is cold after its start.
	ColdStart time.Duration
	// Scale is nil if the number of upstreams is not ordered by this system, or if its
	// limits are invalid. ScaleProblem then states why, and is empty otherwise.
	Scale        *Scale
	ScaleProblem string
}

// CacheStore is a kept-cache store: a server that stores KV cache exported from
// engines and returns it on request. It evicts nothing on its own.
type CacheStore struct {
	ID             core.ServiceID
	Address        string
	Domain         core.FailureDomain
	CapacityTokens int
	LinkMbps       float64
	// TransferDelay is a fixed delay that is added to every transfer.
	TransferDelay time.Duration
	// EventReaders is the maximum number of callers that may wait for the store's
	// events. Zero means no limit.
	EventReaders int
}

// Workspace is a customer with its keys.
type Workspace struct {
	ID   core.WorkspaceID
	Keys []string
	// Priority takes precedence over the route's priority. Nil means that none is
	// set.
	Priority *int
	// Isolated workspaces do not use cached parts together with other workspaces.
	Isolated bool
}

// Limits bound the requests and connections of callers. Zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time from the first byte of a request to the end
	// of its header. IdleTimeout is the maximum time that a caller's connection may
	// remain open without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	// Epoch is the configuration's sequence number, which the configuration itself
	// contains. It is not the version of its row, so it is not comparable with
	// fleet.View.Epoch. A configuration replaces those with a smaller epoch.
	Epoch       core.Epoch
	Routes      []Route
	Services    map[core.ServiceID]*Service
	CacheStores []CacheStore
	Workspaces  []Workspace
	Limits      Limits

	routes map[string][]*Route
	keys   map[string]*Workspace
}

// Index builds the lookup tables. It is called once, before other goroutines
// read the configuration.
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

// NeedsKeys reports whether calls on routes that are not public require a key.
func (c *Config) NeedsKeys() bool { return len(c.Workspaces) > 0 }

// Workspace returns the workspace to which a key belongs, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.keys[key] }

// Upstream is a listed model server or instance of a plain service.
type Upstream struct {
	ID      core.UpstreamID
	Service core.ServiceID
	Address string
	Domain  core.FailureDomain
	// Software is the version of the software that the upstream runs.
	Software string
	// Slots is the number of calls that the upstream runs at the same time.
	Slots    int
	Draining bool
	// ColdRemaining is the time for which the upstream was still cold when it was
	// listed.
	ColdRemaining time.Duration
	// Weights contains the weight version of each model.
	Weights map[core.ModelID]WeightNumber
	// StartedAtMs is the start of the upstream's incarnation in Unix milliseconds,
	// or 0 when the list does not contain it.
	StartedAtMs int64
	// Revision is the number of this entry among those that the incarnation has
	// written.
	Revision uint64
}

// IsNewerThan reports whether the upstream has written this entry after the other
// one.
func (u *Upstream) IsNewerThan(other *Upstream) bool {
	if u.StartedAtMs != other.StartedAtMs {
		return u.StartedAtMs > other.StartedAtMs
	}
	return u.Revision > other.Revision
}

// UpstreamRow is an upstream with the version of the row that contains it.
type UpstreamRow struct {
	*Upstream
	RowVersion uint64
}

// RequestedVersion is a weight version that the operator requested, with the time
// of the request.
type RequestedVersion struct {
	Version WeightNumber
	// RequestedAt is zero when the version was requested before this process first
	// read the operator's requests.
	RequestedAt time.Time
}

// WeightHistory contains the weight versions that the operator requested for a
// model, sorted by version.
type WeightHistory []RequestedVersion

// Newest returns the newest requested version, or the zero value when there is
// none.
func (h WeightHistory) Newest() RequestedVersion {
	if len(h) == 0 {
		return RequestedVersion{}
	}
	return h[len(h)-1]
}

// FirstAbove returns the lowest requested version above the given one. The given
// version became old at the time of that request.
func (h WeightHistory) FirstAbove(version WeightNumber) (RequestedVersion, bool) {
	for _, requested := range h {
		if requested.Version > version {
			return requested, true
		}
	}
	return RequestedVersion{}, false
}

// Rollout is a requested rollout of a software version to a service.
type Rollout struct {
	Service core.ServiceID
	Version string
	// MaxDuration is the time within which the rollout has to be complete.
	MaxDuration time.Duration
}

// RolloutState is the last state of a rollout that was reported to the operator.
type RolloutState uint8

// States of a rollout.
const (
	// RolloutUnreported means that no state has been reported yet.
	RolloutUnreported RolloutState = iota
	RolloutRunning
	// RolloutCompleted means that all calls go to the new version.
	RolloutCompleted
	// RolloutRolledBack means that no more calls go to the new version.
	RolloutRolledBack
)

// String returns the name of the state as used in logs. RolloutUnreported is
// logged as "untold".
func (s RolloutState) String() string {
	return [...]string{"untold", "running", "completed", "rolled_back"}[s]
}

// RolloutStatus is the status of a rollout that is reported to the operator.
type RolloutStatus struct {
	Service core.ServiceID
	Version string
	State   RolloutState
}
