package daemon

import (
	"context"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/operator"
	"waxwingtide.example/waxwingtide/rollout"
)

// operators are the operators' duties of an entry.
type operators struct {
	states *operator.StateTracker
	judge  *operator.Judge
	driver *operator.Driver
}

// onLease is the work of the process that holds the operators' lease. The
// driver is set before the duties start.
func (o *operators) onLease(ctx context.Context, fence core.Fence) error {
	return o.driver.Run(ctx, fence)
}

// set builds the duties on the control plane of the process.
func (o *operators) set(p *process) error {
	counts, err := operator.NewSampleCounts(operator.SampleCountsOptions{
		Node: p.common.Node, Incarnation: p.deps.Incarnation, Table: p.control.Table(),
		RequiredSamples: rollout.DefaultTiming().EarlyPromotionSamples, Log: p.log,
	})
	if err != nil {
		return err
	}
	o.judge, err = operator.NewJudge(operator.JudgeOptions{
		Control: p.control, Views: p.control.Subscribe(), SampleReporter: counts, Log: p.log,
		EntryCount: func() int { return max(1, liveEntries(p.control.Members())) },
	})
	if err != nil {
		return err
	}
	o.driver, err = operator.NewDriver(operator.DriverOptions{
		Node: p.common.Node, Incarnation: p.deps.Incarnation, Control: p.control,
		OrderSender:  operator.AgentOrderSender{Dial: p.dialer.Dial},
		EngineStates: o.states, SampleCounter: counts, Views: p.control.Subscribe(), Log: p.log,
	})
	p.later = append(p.later,
		namedDuty{"states", o.states.Run}, namedDuty{"counts", counts.Run}, namedDuty{"judge", o.judge.Run})
	return err
}
