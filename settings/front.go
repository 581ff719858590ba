package settings

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// Names of duties in FrontCloud.Duties, as the platform gives them.
const (
	DutyUsage     = "usage_report"
	DutyAutoscale = "autoscale"
)

// Defaults of the front's optional settings.
const (
	DefaultPrefillTokensPerMs = 40
	DefaultLoadShare          = 0.2
	DefaultRotation           = 2500 * time.Millisecond
	DefaultGCPercent          = 100
	DefaultCanaryShare        = 0.04
)

// Front is the settings of the front daemon, which serves callers on the users'
// platform.
type Front struct {
	Node          core.NodeID        `yaml:"node" validate:"required,max=64"`
	FailureDomain core.FailureDomain `yaml:"failure_domain" validate:"required,max=64"`
	// Callers, Readiness, Inner and Metrics are the IP:port to listen on.
	Callers   string `yaml:"callers" validate:"required,ip_port"`
	Readiness string `yaml:"readiness" validate:"required,ip_port"`
	Inner     string `yaml:"inner" validate:"required,ip_port"`
	Metrics   string `yaml:"metrics" validate:"required,ip_port"`
	// Autoscale sets the number of upstreams of services that have limits of it.
	Autoscale FrontAutoscale `yaml:"autoscale,omitempty"`
	// Seeds are inner addresses of other fronts, to be asked while none is known.
	Seeds []string `yaml:"seeds,omitempty" validate:"dive,ip_port"`
	// Store is the IP:port of the platform's store.
	Store   string       `yaml:"store" validate:"required,ip_port"`
	Bounds  FrontBounds  `yaml:"bounds"`
	Weights FrontWeights `yaml:"weights,omitempty"`
	Engine  FrontEngine  `yaml:"engine,omitempty"`
	Memory  FrontMemory  `yaml:"memory,omitempty"`
	Stop    FrontStop    `yaml:"stop,omitempty"`
	Rollout FrontRollout `yaml:"rollout,omitempty"`
	// Cloud is nil in a deployment without duties.
	Cloud *FrontCloud `yaml:"cloud,omitempty"`
	Log   Log         `yaml:"log,omitempty"`
	Doors Doors       `yaml:"doors,omitempty"`
}

// FrontCloud is the platform's interface for the duties that one front performs at a time.
type FrontCloud struct {
	// Address is the IP:port of the interface.
	Address string `yaml:"address" validate:"required,ip_port"`
	// CallsPerSecond is the number of calls that it accepts from all fronts.
	CallsPerSecond float64 `yaml:"calls_per_second" validate:"gt=0"`
	// Duties are the duties that the fronts perform. Unknown ones are logged and ignored.
	Duties []string `yaml:"duties" validate:"dive,required"`
	// UsageWindow is the length of the windows for which usage is reported, UsageDue the
	// time after a window's end by which it must be. They are required for usage reports.
	UsageWindow time.Duration `yaml:"usage_window,omitempty" validate:"min=0"`
	UsageDue    time.Duration `yaml:"usage_due,omitempty" validate:"min=0"`
}

// Performs reports whether the fronts perform a duty.
func (c *FrontCloud) Performs(duty string) bool {
	return c != nil && slices.Contains(c.Duties, duty)
}

// minUsagePeriod is the minimum of UsageWindow and UsageDue. Counts are gathered within an
// eighth of it.
const minUsagePeriod = time.Second

// checkUsage returns an error if usage is to be reported with periods that are too short.
func (c *FrontCloud) checkUsage(file string) error {
	if !c.Performs(DutyUsage) {
		return nil
	}
	for key, period := range map[string]time.Duration{"cloud.usage_window": c.UsageWindow, "cloud.usage_due": c.UsageDue} {
		if period < minUsagePeriod {
			return errs.New(errs.Invalid, "set it to "+minUsagePeriod.String()+" or more", "%s: %s is %s, which is too short for usage reports", file, key, period)
		}
	}
	return nil
}

// FrontBounds are the deployment's bounds.
type FrontBounds struct {
	// Lease is the time in which two holders of a lease must not take turns.
	Lease time.Duration `yaml:"lease" validate:"min=300ms"`
	// Weights is the time after which no call begins on older weights.
	Weights time.Duration `yaml:"weights" validate:"min=0"`
	// Grace is the time that a planned stop has.
	Grace time.Duration `yaml:"grace" validate:"min=1s"`
	// ColdOver and ColdSlack extend what a cold upstream bears in a second.
	ColdOver  float64 `yaml:"cold_over" validate:"min=0"`
	ColdSlack float64 `yaml:"cold_slack" validate:"min=0"`
	// RetryShare and RetrySlack bound repeated sends within RetryWindow.
	RetryShare  float64       `yaml:"retry_share" validate:"min=0"`
	RetrySlack  float64       `yaml:"retry_slack" validate:"min=0"`
	RetryWindow time.Duration `yaml:"retry_window" validate:"min=1s"`
}

// FrontWeights sets how new weights are loaded.
type FrontWeights struct {
	// LoadShare is the share of a model's servers that load at once; the
	// default is 0.2.
	LoadShare float64 `yaml:"load_share,omitempty" validate:"min=0,max=1"`
	// Mode is finish, cut or keep: what happens to runs under way. The default
	// is finish.
	Mode string `yaml:"mode,omitempty" validate:"omitempty,oneof=finish cut keep"`
}

// FrontEngine is the model of an engine's speed.
type FrontEngine struct {
	// PrefillTokensPerMs is the rate of reading a prompt; the default is 40.
	PrefillTokensPerMs float64 `yaml:"prefill_tokens_per_ms,omitempty" validate:"min=0"`
}

// FrontMemory bounds the process.
type FrontMemory struct {
	// LimitMB is the memory that the VM grants the process; 0 means no bound.
	LimitMB float64 `yaml:"limit_mb,omitempty" validate:"min=0"`
	// GCPercent is the garbage collector's target; the default is 100.
	GCPercent int `yaml:"gc_percent,omitempty" validate:"min=0"`
}

// FrontStop sets a planned stop.
type FrontStop struct {
	// Rotation is how long the balancer may go on sending connections after the
	// front has said that it is not ready; the default is 2.5s.
	Rotation time.Duration `yaml:"rotation,omitempty" validate:"min=0"`
}

// FrontRollout sets how services move to another software version.
type FrontRollout struct {
	// CanaryShare is the part of a service's calls that the new version gets
	// until it is judged, over all fronts; the default is 0.04.
	CanaryShare float64 `yaml:"canary_share,omitempty" validate:"min=0,max=0.5"`
}

// LoadFront reads and checks the settings of the front daemon.
func LoadFront(file string) (*Front, error) {
	var s Front
	if err := load(file, &s); err != nil {
		return nil, err
	}
	if err := s.Cloud.checkUsage(file); err != nil {
		return nil, err
	}
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Weights.LoadShare, DefaultLoadShare)
	setDefault(&s.Weights.Mode, "finish")
	setDefault(&s.Engine.PrefillTokensPerMs, DefaultPrefillTokensPerMs)
	setDefault(&s.Stop.Rotation, DefaultRotation)
	setDefault(&s.Rollout.CanaryShare, DefaultCanaryShare)
	setDefault(&s.Memory.GCPercent, DefaultGCPercent)
	return &s, nil
}
