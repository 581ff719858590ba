// Package bundle holds the versioned document that operators sign off: which
// models, adapters and weight versions serve which workspaces and callers, on
// which upstreams, with which limits.
package bundle

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Bundle is one version of the document.
type Bundle struct {
	// Version is the operators' name for this bundle.
	Version    string      `yaml:"version" json:"version" validate:"required,max=64"`
	Models     []Model     `yaml:"models" json:"models" validate:"required,min=1,dive"`
	Upstreams  []Upstream  `yaml:"upstreams" json:"upstreams" validate:"required,min=1,dive"`
	Services   []Service   `yaml:"services,omitempty" json:"services,omitempty" validate:"dive"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" validate:"required,min=1,dive"`
	Stores     []Store     `yaml:"kept_cache_stores,omitempty" json:"kept_cache_stores,omitempty" validate:"dive"`
}

// Model is a base model with its adapters and the versions in use.
type Model struct {
	ID       core.ModelID         `yaml:"id" json:"id" validate:"required,max=64"`
	Adapters []core.AdapterID     `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique,dive,required"`
	Versions []core.WeightVersion `yaml:"versions" json:"versions" validate:"required,min=1,unique,dive,required"`
	// Stable is the version that serves all traffic but the canary share.
	Stable core.WeightVersion `yaml:"stable" json:"stable" validate:"required"`
	// Rollout moves the model's traffic to another version.
	Rollout *Rollout `yaml:"rollout,omitempty" json:"rollout,omitempty"`
}

// Rollout is the plan to move a model's traffic to a new version.
type Rollout struct {
	To core.WeightVersion `yaml:"to" json:"to" validate:"required"`
	// CanaryShare is the largest share of the model's traffic that the new
	// version gets before promotion, from 0 to 1.
	CanaryShare float64 `yaml:"canary_share" json:"canary_share" validate:"gt=0,lte=0.5"`
	// CanaryUpstreams is how many upstreams serve the canary share.
	CanaryUpstreams int `yaml:"canary_upstreams" json:"canary_upstreams" validate:"min=1"`
	// Deadline is when all traffic must be on the new version.
	Deadline time.Time `yaml:"deadline" json:"deadline" validate:"required"`
}

// UpstreamKind tells engines and plain services apart.
type UpstreamKind string

// Kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Upstream is a model server or a plain service instance behind an agent.
type Upstream struct {
	ID   core.UpstreamID `yaml:"id" json:"id" validate:"required,max=64"`
	Kind UpstreamKind    `yaml:"kind" json:"kind" validate:"oneof=engine service"`
	// Agent is the address of the inner protocol of the agent beside the
	// upstream, as IP:port.
	Agent         string             `yaml:"agent" json:"agent" validate:"required,hostname_port"`
	FailureDomain core.FailureDomain `yaml:"failure_domain" json:"failure_domain" validate:"required"`
	// Model is the model that an engine serves.
	Model core.ModelID `yaml:"model,omitempty" json:"model,omitempty" validate:"required_if=Kind engine"`
	// Service is the service that a plain upstream is an instance of.
	Service core.ServiceID `yaml:"service,omitempty" json:"service,omitempty" validate:"required_if=Kind service"`
	// ChecksFence says whether the upstream refuses orders with an old fence.
	ChecksFence bool `yaml:"checks_fence,omitempty" json:"checks_fence,omitempty"`
	// MaxWindow is the largest number of concurrent runs on the upstream.
	MaxWindow int `yaml:"max_window" json:"max_window" validate:"min=1,max=4096"`
	// ColdWindow is the number of concurrent runs that a fresh upstream bears;
	// 0 means one.
	ColdWindow int `yaml:"cold_window,omitempty" json:"cold_window,omitempty" validate:"min=0,max=4096"`
	// WarmUpSeconds is how long an upstream stays fresh after a start or the
	// loss of its cache; 0 means until its replies show that it bears more.
	WarmUpSeconds float64 `yaml:"warm_up_seconds,omitempty" json:"warm_up_seconds,omitempty" validate:"min=0,max=3600"`
}

// Service is a plain service beside the engines.
type Service struct {
	ID core.ServiceID `yaml:"id" json:"id" validate:"required,max=64"`
	// NonRepeatable lists the calls that may run at most once, each as a method
	// and a path prefix, for example "POST /applications".
	NonRepeatable []string `yaml:"non_repeatable,omitempty" json:"non_repeatable,omitempty" validate:"dive,required"`
}

// Workspace is the unit of isolation.
type Workspace struct {
	ID      core.WorkspaceID `yaml:"id" json:"id" validate:"required,max=64"`
	Callers []Caller         `yaml:"callers" json:"callers" validate:"required,min=1,dive"`
	Models  []core.ModelID   `yaml:"models,omitempty" json:"models,omitempty" validate:"unique,dive,required"`
	// Adapters lists the adapters that the workspace may use on its models;
	// without it, every adapter of its models is allowed.
	Adapters []core.AdapterID `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique,dive,required"`
	Services []core.ServiceID `yaml:"services,omitempty" json:"services,omitempty" validate:"unique,dive,required"`
	// DefaultClass is the urgency of calls that do not state one.
	DefaultClass string `yaml:"default_class,omitempty" json:"default_class,omitempty" validate:"omitempty,oneof=urgent deferrable"`
	// Weight is the share of a contended upstream relative to other workspaces.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty" validate:"min=0,max=1000"`
	// MaxInFlight bounds the workspace's concurrent calls at one entry; 0 means
	// no bound of its own.
	MaxInFlight int `yaml:"max_in_flight,omitempty" json:"max_in_flight,omitempty" validate:"min=0"`
}

// Caller is one holder of an API key.
type Caller struct {
	ID core.CallerID `yaml:"id" json:"id" validate:"required,max=64"`
	// KeySHA256 is the SHA-256 of the API key in hexadecimal.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256" validate:"required,len=64,hexadecimal"`
}

// Store is a kept-cache store VM.
type Store struct {
	ID            string             `yaml:"id" json:"id" validate:"required,max=64"`
	Address       string             `yaml:"address" json:"address" validate:"required,hostname_port"`
	FailureDomain core.FailureDomain `yaml:"failure_domain" json:"failure_domain" validate:"required"`
}

// WarmUp returns how long the upstream stays fresh.
func (u *Upstream) WarmUp() time.Duration {
	return time.Duration(u.WarmUpSeconds * float64(time.Second))
}

// Class returns the workspace's default urgency.
func (w Workspace) Class() core.Class {
	if w.DefaultClass == core.Deferrable.String() {
		return core.Deferrable
	}
	return core.Urgent
}
