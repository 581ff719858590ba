package settings

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// FrontAutoscale sets how the number of upstreams of a service in a failure domain is
// decided. It applies to services with limits of that number. The defaults are those of
// autoscale.Options.
type FrontAutoscale struct {
	// FailureDomains are all failure domains of the deployment, the same on all fronts.
	FailureDomains []core.FailureDomain `yaml:"failure_domains,omitempty" validate:"unique,dive,required,max=64"`
	// LostDomains and LostUpstreams are the numbers of failure domains, or of upstreams of a
	// service, whose loss is tolerated.
	LostDomains   int `yaml:"lost_domains,omitempty" validate:"min=0"`
	LostUpstreams int `yaml:"lost_upstreams,omitempty" validate:"min=0"`
	// Utilization is the share of the capacity that the foreseen demand uses, LossUtilization
	// that share after the loss.
	Utilization     float64 `yaml:"utilization,omitempty" validate:"min=0,max=1"`
	LossUtilization float64 `yaml:"loss_utilization,omitempty" validate:"min=0,max=1"`
	// CutShare is the largest share of the upstreams that one order removes.
	CutShare float64 `yaml:"cut_share,omitempty" validate:"min=0,max=1"`
	// Period is the known period of the demand.
	Period time.Duration `yaml:"period,omitempty" validate:"min=0"`
	// Hold is the time for which the highest demand is remembered, and the minimum time
	// between a raise and a cut.
	Hold time.Duration `yaml:"hold,omitempty" validate:"min=0"`
}
