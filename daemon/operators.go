package daemon

import (
	"context"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/operator"
	"waxwingtide.example/waxwingtide/rollout"
)

// operatorDuties are the duties of package operator on an entry.
type operatorDuties struct {
	stateTracker *operator.StateTracker
	judge        *operator.Judge
	driver       *operator.Driver
}

// runDriver runs the driver while this process holds the operators' lease. create sets
// the driver before the duties start.
func (o *operatorDuties) runDriver(ctx context.Context, fence core.Fence) error {
	return o.driver.Run(ctx, fence)
}

// create creates the duties with the control plane of the process.
func (o *operatorDuties) create(p *process) error {
	counts, err := operator.NewSampleCounts(operator.SampleCountsOptions{
		Node: p.common.Node, Incarnation: p.deps.Incarnation, Table: p.control.Table(),
		MaxCountedSamples: rollout.DefaultTiming().EarlyPromotionSamples, Log: p.log,
	})
	if err != nil {
		return err
	}
	o.judge, err = operator.NewJudge(operator.JudgeOptions{
		Control: p.control, Views: p.control.Subscribe(), SampleReporter: counts, Log: p.log,
		EntryCount: func() int { return max(1, countLiveEntries(p.control.Members())) },
	})
	if err != nil {
		return err
	}
	o.driver, err = operator.NewDriver(operator.DriverOptions{
		Node: p.common.Node, Incarnation: p.deps.Incarnation, Control: p.control,
		OrderSender:  operator.AgentOrderSender{Dial: p.dialer.Dial},
		EngineStates: o.stateTracker, SampleCounter: counts, Views: p.control.Subscribe(), Log: p.log,
	})
	p.duties = append(p.duties,
		namedDuty{"states", o.stateTracker.Run}, namedDuty{"counts", counts.Run}, namedDuty{"judge", o.judge.Run})
	return err
}
