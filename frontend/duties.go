package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/lease/keeper"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/singleton"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
	"waxwingtide.example/waxwingtide/singleton/usage"
	"waxwingtide.example/waxwingtide/wire"
)

// releaseTimeout is the time in which a planned stop gives up the leases of duties.
const releaseTimeout = 700 * time.Millisecond

// duties are the duties that one front performs at a time. They are nil in a deployment
// without them.
type duties struct {
	keeper   *keeper.Keeper
	client   *platform.DutyClient
	meter    *usage.Meter
	reporter *usage.Reporter
	scaler   *autoscale.Scaler
	domains  []core.FailureDomain
	view     func() *fleet.View
	changed  *ring.Ring[struct{}]
}

// newDuties returns the duties of the settings, or nil if there are none.
func (p *process) newDuties(store fleet.Store) (*duties, error) {
	cloud := p.settings.Cloud
	if cloud == nil {
		return nil, nil
	}
	for _, name := range cloud.Duties {
		if name != settings.DutyUsage && name != settings.DutyAutoscale {
			p.log.WithFields(logrus.Fields{"event": "duty_unknown", "duty": name}).Warn("duty is not known and is not performed")
		}
	}
	self := fleet.Member{Node: p.settings.Node, Address: p.settings.Inner, Domain: p.settings.FailureDomain, Incarnation: p.incarnation}
	k, err := keeper.New(keeper.Options{
		Self: self, Gap: p.settings.Bounds.Lease, Store: store, View: p.fleet.View, Changed: p.fleet.Subscribe(),
		Log: p.log, Meter: p.metrics.Meter("duties"),
	})
	if err != nil {
		return nil, err
	}
	d := &duties{keeper: k, client: platform.NewDutyClient(cloud.Address, cloud.CallsPerSecond)}
	if cloud.Performs(settings.DutyUsage) {
		if err := d.addUsage(p, self, store); err != nil {
			return nil, err
		}
	}
	if cloud.Performs(settings.DutyAutoscale) && len(p.settings.Autoscale.FailureDomains) > 0 {
		if err := d.addAutoscale(p); err != nil {
			return nil, err
		}
	}
	d.setSubjects(nil)
	return d, nil
}

// addAutoscale adds the duties that order the number of upstreams.
func (d *duties) addAutoscale(p *process) (err error) {
	a := p.settings.Autoscale
	d.domains, d.view, d.changed = a.FailureDomains, p.fleet.View, p.fleet.Subscribe()
	d.scaler, err = autoscale.NewScaler(autoscale.ScalerOptions{
		Options: autoscale.Options{
			Utilization: a.Utilization, LossUtilization: a.LossUtilization, LostDomains: a.LostDomains, LostUpstreams: a.LostUpstreams,
			CutShare: a.CutShare, Period: a.Period, HoldTime: a.Hold,
		},
		Leases: d.keeper, Client: d.client, View: p.fleet.View, Log: p.log, Meter: p.metrics.Meter("autoscale"),
	})
	return err
}

// runSubjects sets the subjects of the configuration in force.
func (d *duties) runSubjects(ctx context.Context) error {
	var epoch core.Epoch
	for {
		if config := d.view().Config; config != nil && config.Epoch != epoch {
			epoch = config.Epoch
			d.setSubjects(autoscale.Subjects(config, d.domains))
		}
		if _, err := d.changed.Receive(ctx); err != nil {
			return nil
		}
	}
}

// recordLoads returns the function that receives the loads of all upstreams, or nil if their
// number is not ordered.
func (d *duties) recordLoads() func(autoscale.LoadReport) {
	if d == nil || d.scaler == nil {
		return nil
	}
	return d.scaler.RecordLoads
}

// addUsage adds the metering and the reports of usage.
func (d *duties) addUsage(p *process, self fleet.Member, store fleet.Store) (err error) {
	periods := usage.Periods{Window: p.settings.Cloud.UsageWindow, Due: p.settings.Cloud.UsageDue}
	trueTime := usage.NewClock(time.Now(), clock.SinceBoot())
	d.meter, err = usage.NewMeter(usage.MeterOptions{
		Self: self, Periods: periods, Members: func() []fleet.Member { return p.fleet.View().Members },
		Exchange: func(ctx context.Context, address string, request *wire.MeterRequest) (*wire.MeterReply, error) {
			return wire.NewDRPCCatalogClient(p.dialer.Dial(ctx, address)).Meter(ctx, request)
		},
		Sender: p.fleet.Sender, ObserveEpoch: p.fleet.ObserveEpoch, Clock: trueTime, Log: p.log, Meter: p.metrics.Meter("usage"),
	})
	if err != nil {
		return err
	}
	d.reporter, err = usage.NewReporter(usage.ReporterOptions{
		Periods: periods, Leases: d.keeper, Store: store, Platform: d.client, Gatherer: d.meter, Clock: trueTime,
		Log: p.log, Meter: p.metrics.Meter("duties"),
	})
	return err
}

// setSubjects sets the subjects of all duties: that of usage reports, if there are any, and
// others.
func (d *duties) setSubjects(others []singleton.Subject) {
	var subjects []singleton.Subject
	if d.reporter != nil {
		subjects = append(subjects, singleton.UsageSubject)
	}
	subjects = append(subjects, others...)
	d.client.SetSubjects(len(subjects))
	d.keeper.SetSubjects(subjects)
}

// start starts the duties in a group.
func (d *duties) start(g *duty.Group) {
	if d == nil {
		return
	}
	g.Go("leases", d.keeper.Run)
	if d.reporter != nil {
		d.meter.Start(g)
		g.Go("usage reports", d.reporter.Run)
	}
	if d.scaler != nil {
		d.scaler.Start(g)
		g.Go("scaling subjects", d.runSubjects)
	}
}

// release gives up all leases, so that other fronts perform the duties.
func (d *duties) release(ctx context.Context) error {
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	d.keeper.Release(ctx)
	return nil
}

// callBegan returns the function that counts a call, or nil if calls are not metered.
func (d *duties) callBegan() func(core.WorkspaceID) {
	if d == nil || d.meter == nil {
		return nil
	}
	return d.meter.CallBegan
}

// Meter implements the method Meter of the inner protocol.
func (d *duties) Meter(ctx context.Context, request *wire.MeterRequest) (*wire.MeterReply, error) {
	if d == nil || d.meter == nil {
		return nil, errs.New(errs.NotFound, "configure the same duties in all processes", "this process does not meter calls")
	}
	return d.meter.Meter(ctx, request)
}
