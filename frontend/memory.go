package frontend

import (
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/callerhttp/clientmetrics"
	"waxwingtide.example/waxwingtide/membudget"
)

const (
	// defaultMemoryMB is the memory of the process if the setting Memory.LimitMB is not
	// set. It is what a node may spend for control.
	defaultMemoryMB = 128
	// responseShare, requestShare and controlShare are the shares of the process's memory
	// that unfinished responses of upstreams, requests of callers with their heads, and replies of the control
	// interface may hold, and keptCacheShare that for the recorded content of kept-cache
	// stores. The rest is left to the other state of the process and the garbage.
	responseShare  = 0.25
	requestShare   = 0.2
	controlShare   = 0.15
	keptCacheShare = 0.2
	// controlRequestShare is the share for requests at the other listeners, so that what
	// comes there does not use up the memory for callers, nor the reverse.
	controlRequestShare = 0.05
)

// memoryBudgets bound the memory that messages of others hold, and what is recorded of
// them. Each kind has a budget of its own, so that faulty servers do not use up the memory
// for requests.
type memoryBudgets struct{ responses, requests, controlReplies, keptCache, controlRequests *membudget.Budget }

// newMemoryBudgets returns the budgets of a process that is granted a memory of limitMB; 0
// means that it is not known.
func newMemoryBudgets(limitMB float64) memoryBudgets {
	if limitMB <= 0 {
		limitMB = defaultMemoryMB
	}
	newBudget := func(name string, share float64) *membudget.Budget {
		return membudget.New(name, int64(share*limitMB*(1<<20)))
	}
	return memoryBudgets{
		responses:      newBudget("responses", responseShare),
		requests:       newBudget("requests", requestShare),
		controlReplies: newBudget("control_replies", controlShare),
		keptCache:      newBudget("kept_cache", keptCacheShare),

		controlRequests: newBudget("control_requests", controlRequestShare),
	}
}

// register adds the instruments of the budgets to a meter.
func (b memoryBudgets) register(meter metric.Meter) error {
	return clientmetrics.RegisterBudgets(meter, b.responses, b.requests, b.controlReplies, b.keptCache, b.controlRequests)
}
