package autoscale_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/singleton"
)

// holder returns an authority that does not end.
func holder(fence uint64) singleton.Authority {
	return singleton.Authority{Holder: "front", Fence: core.Fence(fence), StopAt: forever}
}

// Guards against orders without an authority, against repeated orders of a count that is in
// force, and against a count that does not follow the demand back.
func TestOrdersOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, newFakePlatform(4), singleton.Authority{})
		w.run(5*time.Minute, 20)
		require.Empty(t, w.platform.orders(), "an order without an authority")
		w.leases.set(holder(1))
		w.run(5*time.Minute, 20)
		require.Empty(t, w.platform.orders())
		w.run(time.Minute, 60)
		raised := w.platform.orders()
		require.NotEmpty(t, raised)
		require.LessOrEqual(t, len(raised), 3)
		w.run(2*time.Hour, 20)
		orders := w.platform.orders()
		require.Equal(t, 4, orders[len(orders)-1].count)
		for i := range len(orders) - 1 {
			require.NotEqual(t, orders[i].count, orders[i+1].count, "a count was ordered twice")
		}
		require.Equal(t, 4, w.platform.listed())
		require.Equal(t, 4, w.scaler.Status()[0].InForce)
	})
}

// Guards against the loss of an order whose answer is lost before it takes effect: it is
// repeated until the list of upstreams shows it, and then no longer.
func TestLostAnswerBeforeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		p.update(func(s *platformState) {
			s.answer = func(_ context.Context, n int) (bool, error) { return n > 7, unknown() }
		})
		w := newWorld(t, p, holder(1))
		w.run(5*time.Minute, 20)
		w.run(5*time.Minute, 60)
		orders := p.orders()
		requireNoEarlyCut(t, orders)
		require.Equal(t, orders[len(orders)-1].count, p.listed())
		count := len(orders)
		require.LessOrEqual(t, count, 14, "orders are repeated after the list shows their effect")
		w.run(5*time.Minute, 60)
		require.Len(t, p.orders(), count)
	})
}

// Guards against a second, different order after the answer to an order that took effect
// was lost.
func TestLostAnswerAfterEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		p.update(func(s *platformState) { s.answer = func(context.Context, int) (bool, error) { return true, unknown() } })
		w := newWorld(t, p, holder(1))
		w.run(5*time.Minute, 20)
		w.run(55*time.Second, 60)
		orders := p.orders()
		requireNoEarlyCut(t, orders)
		require.LessOrEqual(t, len(distinct(orders)), 3)
		require.Equal(t, orders[len(orders)-1].count, p.listed())
	})
}

// Guards against a flood of orders while the platform refuses them (429) or is down, and
// against a count that is never ordered after it has returned.
func TestPlatformRefusesOrIsDown(t *testing.T) {
	for _, kind := range []errs.Kind{errs.Exhausted, errs.Unavailable} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform(4)
				w := newWorld(t, p, holder(1))
				w.run(5*time.Minute, 20)
				p.update(func(s *platformState) {
					s.answer = func(context.Context, int) (bool, error) { return false, errs.New(kind, "retry later", "refused") }
				})
				w.run(5*time.Minute, 60)
				require.Equal(t, 4, p.listed())
				require.Less(t, len(p.orders()), 16, "delays between orders do not grow")
				p.update(func(s *platformState) { s.answer = nil })
				w.run(time.Minute, 60)
				require.Greater(t, p.listed(), 8)
			})
		})
	}
}

// Guards against an order that waits longer than its timeout for a slow platform, and
// against decisions that wait for it.
func TestSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		p.update(func(s *platformState) {
			s.answer = func(ctx context.Context, _ int) (bool, error) {
				<-ctx.Done()
				return true, unknown()
			}
		})
		w := newWorld(t, p, holder(1))
		w.run(5*time.Minute, 20)
		w.run(time.Minute, 60)
		require.Greater(t, p.listed(), 8)
		require.NotEmpty(t, w.scaler.Status())
	})
}

// Guards against a count that is never reached because the platform has accepted an order
// and lost it.
func TestAcceptedOrderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		p.update(func(s *platformState) { s.answer = func(_ context.Context, n int) (bool, error) { return n > 5, nil } })
		w := newWorld(t, p, holder(1))
		w.run(5*time.Minute, 20)
		w.run(5*time.Minute, 60)
		require.Greater(t, p.listed(), 8)
		require.LessOrEqual(t, len(p.orders()), 10)
	})
}

// Guards against orders with a refused count that are repeated without end.
func TestInvalidOrderIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		p.update(func(s *platformState) {
			s.answer = func(context.Context, int) (bool, error) {
				return false, errs.New(errs.Invalid, "order another count", "refused")
			}
		})
		w := newWorld(t, p, holder(1))
		w.run(5*time.Minute, 20)
		w.run(4*time.Minute, 60)
		require.Len(t, p.orders(), len(distinct(p.orders())))
	})
}

// Guards against an order by a holder that was frozen over the end of its authority, whose
// timers did not advance, and against a request that outlives the authority.
func TestFrozenHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		w := newWorld(t, p, singleton.Authority{Holder: "front", Fence: 1, StopAt: time.Hour})
		w.run(5*time.Minute, 20)
		w.skipped.Push(2 * time.Hour)
		w.run(5*time.Minute, 60)
		require.Empty(t, p.orders())
	})
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		var left time.Duration
		p.update(func(s *platformState) {
			s.answer = func(ctx context.Context, _ int) (bool, error) {
				deadline, _ := ctx.Deadline()
				left = time.Until(deadline)
				return false, unknown()
			}
		})
		// The authority ends shortly after the first order for the higher demand.
		w := newWorld(t, p, singleton.Authority{Holder: "front", Fence: 1, StopAt: 5*time.Minute + 2*time.Second})
		w.run(5*time.Minute, 20)
		w.run(5*time.Minute, 60)
		require.NotEmpty(t, p.orders())
		require.Less(t, left, 2*time.Second, "the timeout is longer than the authority")
		for _, o := range p.orders() {
			require.Less(t, o.at, 5*time.Minute+2*time.Second)
		}
	})
}

// Guards against an order that was decided before the process was frozen over the end of its
// authority and is sent after that.
func TestFrozenBetweenDecisionAndOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		w := newWorld(t, p, singleton.Authority{Holder: "front", Fence: 1, StopAt: time.Hour}, "west")
		p.update(func(s *platformState) {
			s.answer = func(context.Context, int) (bool, error) {
				time.Sleep(2 * time.Second) // the order of the other failure domain is decided meanwhile
				w.skipped.Push(2 * time.Hour)
				return true, nil
			}
		})
		w.run(5*time.Minute, 20)
		w.run(time.Minute, 90)
		require.Len(t, p.orders(), 1)
	})
}

// Guards against a new holder that orders another count, or the minimum, after the earlier
// one died between sending an order and recording its answer; also if the new holder is a
// process that has just started.
func TestHolderDiesAfterSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		first := newWorld(t, p, holder(1))
		first.run(5*time.Minute, 20)
		first.run(3*time.Second, 60)
		ordered := p.orders()
		require.NotEmpty(t, ordered)
		last := ordered[len(ordered)-1].count
		first.stop() // the upstreams are still booting
		second := newWorld(t, p, holder(2))
		second.run(time.Minute, 60)
		for _, o := range p.orders()[len(ordered):] {
			require.GreaterOrEqual(t, o.count, last, "the new holder undoes the order")
		}
		require.GreaterOrEqual(t, p.listed(), last)
		second.run(10*time.Minute, 60)
		settled := len(p.orders())
		second.run(time.Hour, 60)
		require.LessOrEqual(t, len(p.orders())-settled, 2, "the counts swing")
	})
}

// Guards against an order to the minimum by a front that has just started, before it
// receives the loads of the other fronts.
func TestStartedFrontWithoutLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(20)
		w := newWorld(t, p, holder(1))
		time.Sleep(30 * time.Minute) // no report of loads
		require.Empty(t, p.orders())
		w.run(50*time.Second, 10)
		require.Empty(t, p.orders(), "a cut before the hold time was observed")
	})
}

// Guards against orders while the store is away, so that the lease has ended, and against
// swinging when it returns.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		w := newWorld(t, p, holder(1))
		w.run(5*time.Minute, 20)
		w.leases.set(singleton.Authority{})
		w.run(10*time.Minute, 60)
		require.Empty(t, p.orders())
		w.leases.set(holder(2))
		w.run(30*time.Minute, 60)
		require.NotEmpty(t, p.orders())
		require.LessOrEqual(t, len(p.orders()), 3)
		require.Greater(t, p.listed(), 8)
	})
}

// Guards against a cut that gives up cached parts without a log line.
func TestDrainingIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, newFakePlatform(4), holder(1))
		w.run(time.Minute, 20)
		w.draining.Push(catalog.UpstreamRow{Upstream: &catalog.Upstream{ID: "leaving", Service: testService, Domain: testDomain, Draining: true}})
		w.run(time.Minute, 20)
		lines := linesOf(w, "scale_draining")
		require.Len(t, lines, 1)
		require.Equal(t, 700, lines[0].Data["exclusive_tokens"])
	})
}

// Guards against limits that are ignored without a log line, or with one each second.
func TestInvalidLimitsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, newFakePlatform(4), holder(1))
		w.run(time.Minute, 20)
		require.Len(t, linesOf(w, "scale_ignored"), 1)
	})
}

// linesOf returns the log lines of an event.
func linesOf(w *world, event string) []*logrus.Entry {
	var lines []*logrus.Entry
	for _, entry := range w.log.AllEntries() {
		if entry.Data["event"] == event {
			lines = append(lines, entry)
		}
	}
	return lines
}

// requireNoEarlyCut checks that no cut follows a raise within the hold time. Repetitions of
// an order do not begin the hold time anew.
func requireNoEarlyCut(t *testing.T, orders []received) {
	t.Helper()
	require.NotEmpty(t, orders)
	for i, o := range orders {
		for j, earlier := range orders[:i] {
			raise := j == 0 || orders[j-1].count < earlier.count
			if raise && o.at-earlier.at < time.Minute {
				require.LessOrEqual(t, earlier.count, o.count)
			}
		}
	}
}

// distinct returns the ordered counts without immediate repetitions.
func distinct(orders []received) []int {
	var out []int
	for _, o := range orders {
		if len(out) == 0 || out[len(out)-1] != o.count {
			out = append(out, o.count)
		}
	}
	return out
}
