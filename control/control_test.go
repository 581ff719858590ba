package control_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/membership"
	"waxwingtide.example/waxwingtide/stores"
)

// target is the stated time for a change to be in force everywhere.
const target = 4 * time.Second

// Guards against a first bundle that does not reach every process, or a process
// that is ready without one.
func TestFirstBundleReachesEveryProcess(t *testing.T) {
	inCluster(t, 6, nil, func(t *testing.T, c *cluster) {
		time.Sleep(5 * time.Second)
		for _, n := range c.nodes {
			require.False(t, n.control.Ready())
		}
		head, err := c.nodes[0].signOff(t.Context(), "first")
		require.NoError(t, err)
		require.Equal(t, core.Epoch(1), head.Epoch)
		require.Equal(t, core.Epoch(1), head.BundleEpoch)
		c.everywhere(1, target)
		trail, err := c.nodes[1].control.AuditTrail(t.Context(), "", 10)
		require.NoError(t, err)
		require.Len(t, trail, 1)
		require.Equal(t, "sign_off", trail[0].Action)
	})
}

// Guards against an epoch that goes back when processes restart during an
// outage of the table, and against a process that is ready without knowing the
// last epoch.
func TestEpochNeverRevertsOverRestarts(t *testing.T) {
	inCluster(t, 6, nil, func(t *testing.T, c *cluster) {
		for i := 1; i <= 3; i++ {
			_, err := c.nodes[i].signOff(t.Context(), fmt.Sprint("bundle", i))
			require.NoError(t, err)
		}
		c.everywhere(3, target)
		c.platform.set(func() { c.platform.down = true })
		for _, n := range c.nodes {
			n.stop()
			n.start()
			for range 500 {
				time.Sleep(10 * time.Millisecond)
				for _, m := range c.nodes {
					require.False(t, m.control.Ready() && m.control.Epoch() != 3, "ready with an old epoch")
				}
			}
			require.True(t, n.control.Ready(), "peers in all domains know the epoch")
		}
		for _, n := range c.nodes {
			n.stop()
		}
		for _, n := range c.nodes {
			n.start()
		}
		time.Sleep(30 * time.Second)
		for _, n := range c.nodes {
			require.False(t, n.control.Ready(), "no process knows a head")
		}
		c.platform.set(func() { c.platform.down = false })
		c.everywhere(3, 20*time.Second)
	})
}

// Guards against restrictions that need the table, that are written twice or
// out of order after an outage, or that are lost with their origin.
func TestRestrictionsDuringTableOutage(t *testing.T) {
	for _, originDies := range []bool{false, true} {
		t.Run(fmt.Sprint("origin dies ", originDies), func(t *testing.T) {
			inCluster(t, 6, nil, func(t *testing.T, c *cluster) {
				c.begin()
				c.platform.set(func() { c.platform.down = true })
				var want []string
				for i, n := range []int{4, 1, 4, 2, 4} {
					name := fmt.Sprint("u", 9-i)
					want = append(want, name)
					require.NoError(t, c.nodes[n].control.Restrict(t.Context(), facts.Restriction{Subject: upstream(name)}))
					c.until("restriction everywhere", target, c.all(func(n *node) bool {
						return !n.control.View().Allowed(upstream(name))
					}))
				}
				if originDies {
					c.nodes[4].stop()
					defer c.nodes[4].start()
				}
				time.Sleep(time.Minute)
				c.platform.set(func() { c.platform.down = false })
				require.Empty(t, c.restrictionAudit())
				c.until("audit complete", 20*time.Second, func() bool { return len(c.restrictionAudit()) == len(want) })
				time.Sleep(20 * time.Second)
				require.Equal(t, want, c.restrictionAudit(), "once and in order")
			})
		})
	}
}

// Guards against a restriction that a permission does not lift, that returns
// after it was lifted, or that is lifted by another permission.
func TestOnlyAClearLiftsARestriction(t *testing.T) {
	inCluster(t, 3, nil, func(t *testing.T, c *cluster) {
		c.begin()
		for _, name := range []string{"u1", "u2"} {
			require.NoError(t, c.nodes[1].control.Restrict(t.Context(), facts.Restriction{Subject: upstream(name)}))
		}
		time.Sleep(target)
		lift := func(h facts.Head) (facts.Head, error) {
			h.Clear(upstream("u1"))
			return h, nil
		}
		_, err := c.nodes[2].control.Permit(t.Context(), "lift", lift, control.AuditEntry{Action: "return"})
		require.NoError(t, err)
		c.everywhere(2, target)
		row, err := tableFake{c.platform, nil}.Get(t.Context(), stores.Key{Partition: "head", Sort: "restrictions"})
		require.NoError(t, err)
		require.NotContains(t, string(row.Value), "u1")
		require.Contains(t, string(row.Value), "u2")
		for range 2 {
			for _, n := range c.nodes {
				require.True(t, n.control.View().Allowed(upstream("u1")))
				require.False(t, n.control.View().Allowed(upstream("u2")))
				n.stop()
				n.start()
			}
			c.everywhere(2, 20*time.Second)
		}
	})
}

// Guards against a patched bundle that differs from the one signed off, and
// against a process that cannot apply a patch because it missed a bundle.
func TestLargeBundleIsPatched(t *testing.T) {
	inCluster(t, 6, nil, func(t *testing.T, c *cluster) {
		body := func(i int) string {
			lines := strings.Repeat("an upstream with many settings\n", 1000)
			return fmt.Sprint("bundle version ", i, "\n", lines, "end of version ", i, "\n")
		}
		size := int64(len(body(1)))
		for i := 1; i <= 4; i++ {
			behind := c.nodes[5]
			cut := i == 2 || i == 3
			behind.tableAway.Store(cut)
			c.setCut(func(from, _ *node) bool { return cut && from == behind })
			before := c.net.bytes.Load()
			_, err := c.nodes[0].permitBody(t.Context(), fmt.Sprint("op", i), body(i))
			require.NoError(t, err)
			c.until("new bundle", target, func() bool { return c.nodes[4].control.Epoch() == core.Epoch(i) })
			if !cut {
				c.everywhere(core.Epoch(i), 30*time.Second)
			}
			sent := c.net.bytes.Load() - before
			t.Logf("version %d of a bundle of %d bytes, one process cut off %v: %d bytes sent", i, size, cut, sent)
			if cut {
				require.Less(t, sent, size, "no body was sent")
			}
		}
	})
}

// Guards against a process that takes its peers for failed because it cannot
// read the bundle that they send.
func TestUnreadableBundleIsNotAFailureOfPeers(t *testing.T) {
	strict := func(o *control.Options) {
		if parse := o.ParseBundle; o.Node == "n0002" {
			o.ParseBundle = func(body []byte) (*bundle.Index, error) {
				if strings.Contains(string(body), "later") {
					return nil, errs.New(errs.Invalid, "update the program", "unknown field")
				}
				return parse(body)
			}
		}
	}
	inCluster(t, 3, strict, func(t *testing.T, c *cluster) {
		c.begin()
		_, err := c.nodes[0].signOff(t.Context(), "later")
		require.NoError(t, err)
		time.Sleep(time.Minute)
		require.Equal(t, core.Epoch(1), c.nodes[2].control.Epoch())
		for _, m := range c.nodes[2].control.Members().All {
			require.Equal(t, membership.Live, m.State)
		}
	})
}

// Guards against a permission that takes effect twice or is reported wrongly
// when the table's answer is lost.
func TestLostTableAnswers(t *testing.T) {
	cases := map[string]struct {
		downAfterLoss bool
		wantKind      errs.Kind
	}{
		"the id can be read back":    {false, 0},
		"the id cannot be read back": {true, errs.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, nil, func(t *testing.T, c *cluster) {
				c.platform.set(func() { c.platform.loseAnswers, c.platform.downAfterLoss = 1, tc.downAfterLoss })
				_, err := c.nodes[0].signOff(t.Context(), "op")
				if tc.wantKind != 0 {
					require.True(t, errs.Is(err, tc.wantKind), "%v", err)
				} else {
					require.NoError(t, err)
				}
				c.platform.set(func() { c.platform.down, c.platform.downAfterLoss = false, false })
				head, err := c.nodes[1].signOff(t.Context(), "op")
				require.NoError(t, err)
				require.Equal(t, core.Epoch(1), head.Epoch, "the same id takes effect once")
				c.everywhere(1, 10*time.Second)
			})
		})
	}
}

// Guards against a restriction whose audit row is written twice when the
// table's answer is lost.
func TestLostAnswerToAudit(t *testing.T) {
	inCluster(t, 3, nil, func(t *testing.T, c *cluster) {
		c.begin()
		c.platform.set(func() { c.platform.loseAnswers = 1 })
		require.NoError(t, c.nodes[1].control.Restrict(t.Context(), facts.Restriction{Subject: upstream("u1")}))
		time.Sleep(30 * time.Second)
		require.Equal(t, []string{"u1"}, c.restrictionAudit())
	})
}

// Guards against two changes from one epoch, and against a change that is lost
// when operators race.
func TestRacingOperators(t *testing.T) {
	const operators = 8
	inCluster(t, 6, nil, func(t *testing.T, c *cluster) {
		c.begin()
		c.platform.set(func() { c.platform.slow = 20 * time.Millisecond })
		conflicts := make([]int, operators)
		failures := make(chan error, operators)
		for i := range operators {
			go func() {
				for {
					_, err := c.nodes[i%6].signOff(t.Context(), fmt.Sprint("op", i))
					if !errs.Is(err, errs.Conflict) {
						failures <- err
						return
					}
					conflicts[i]++
				}
			}()
		}
		for range operators {
			require.NoError(t, <-failures)
		}
		c.everywhere(1+operators, target)
		total := 0
		for _, n := range conflicts {
			total += n
		}
		require.Positive(t, total, "the operators raced")
		trail, err := c.nodes[0].control.AuditTrail(t.Context(), "", 100)
		require.NoError(t, err)
		require.Len(t, trail, 1+operators)
		for i, entry := range trail {
			require.Equal(t, core.Epoch(i+1), entry.Epoch)
		}
	})
}

// Guards against a head that names a bundle nobody can load, and against
// operations without an id.
func TestBadPermissions(t *testing.T) {
	inCluster(t, 3, nil, func(t *testing.T, c *cluster) {
		ctl := c.nodes[0].control
		missing := func(h facts.Head) (facts.Head, error) {
			h.BundleDigest = "0123"
			return h, nil
		}
		_, err := ctl.Permit(t.Context(), "op", missing, control.AuditEntry{})
		require.True(t, errs.Is(err, errs.NotFound), "%v", err)
		_, err = ctl.Permit(t.Context(), "", missing, control.AuditEntry{})
		require.True(t, errs.Is(err, errs.Invalid), "%v", err)
		_, err = ctl.StoreBundle(t.Context(), []byte("text"))
		require.True(t, errs.Is(err, errs.Invalid), "%v", err)
		require.True(t, errs.Is(ctl.Restrict(t.Context(), facts.Restriction{}), errs.Invalid))
		c.platform.set(func() { c.platform.down = true })
		_, err = ctl.Permit(t.Context(), "op", missing, control.AuditEntry{})
		require.True(t, errs.Is(err, errs.Unavailable), "%v", err)
	})
}

// Guards against two processes that carry out operators' duties at one time
// when the holder of the lease is paused or cut from the table, and against an
// order with the old fence.
func TestLeaseHolderIsCutOff(t *testing.T) {
	withLease := func(o *control.Options) {
		o.OnLease = func(context.Context, core.Fence) error { return nil }
	}
	inCluster(t, 3, withLease, func(t *testing.T, c *cluster) {
		holder := func() (*node, core.Fence) {
			var found *node
			var fence core.Fence
			for _, n := range c.nodes {
				if f, ok := n.control.HeldFence(); ok {
					require.Nil(t, found, "two holders")
					found, fence = n, f
				}
			}
			return found, fence
		}
		var gate lease.FenceChecker
		for round := range 3 {
			var first *node
			var fence core.Fence
			c.until("a holder", 30*time.Second, func() bool {
				first, fence = holder()
				return first != nil
			})
			require.Equal(t, core.Fence(round+1), fence)
			time.Sleep(time.Minute)
			still, same := holder()
			require.Equal(t, first, still, "renewals keep the lease")
			require.Equal(t, fence, same)
			first.tableAway.Store(true)
			c.until("the holder stops", 10*time.Second, func() bool {
				holder()
				return first.terms.Load() == 0
			})
			second, _ := holder()
			require.Nil(t, second, "the holder stops before another starts")
			var next core.Fence
			c.until("another holder", 30*time.Second, func() bool {
				second, next = holder()
				return second != nil
			})
			require.NotEqual(t, first, second)
			require.True(t, gate.Accept(next))
			require.False(t, gate.Accept(fence), "an upstream's agent refuses late orders")
			first.tableAway.Store(false)
		}
	})
}

// Guards against facts that are lost in a partition between failure domains
// while the table is away, and against sides that never meet again.
func TestPartitionBetweenFailureDomains(t *testing.T) {
	inCluster(t, 9, nil, func(t *testing.T, c *cluster) {
		c.begin()
		c.platform.set(func() { c.platform.down = true })
		c.setCut(func(from, to *node) bool {
			return from.options.FailureDomain == "a" && to.options.FailureDomain != "a"
		})
		require.NoError(t, c.nodes[0].control.Restrict(t.Context(), facts.Restriction{Subject: upstream("in a")}))
		require.NoError(t, c.nodes[1].control.Restrict(t.Context(), facts.Restriction{Subject: upstream("in b")}))
		time.Sleep(2 * time.Minute)
		for _, n := range c.nodes {
			inA := n.options.FailureDomain == "a"
			require.Equal(t, !inA, n.control.View().Allowed(upstream("in a")))
			require.Equal(t, inA, n.control.View().Allowed(upstream("in b")))
			require.True(t, n.control.Ready(), "what is in force stays")
		}
		c.setCut(nil)
		c.until("both restrictions everywhere", 30*time.Second, c.all(func(n *node) bool {
			return !n.control.View().Allowed(upstream("in a")) && !n.control.View().Allowed(upstream("in b"))
		}))
		c.platform.set(func() { c.platform.down = false })
		c.until("audit", 30*time.Second, func() bool { return len(c.restrictionAudit()) == 2 })
	})
}

// Guards against a process that is taken for failed after a short silence, and
// against one that is not after a long silence.
func TestSilenceAndSuspicion(t *testing.T) {
	cases := map[string]struct {
		silence time.Duration
		want    membership.State
	}{
		"short": {4 * time.Second, membership.Suspect},
		"long":  {time.Minute, membership.Failed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 4, nil, func(t *testing.T, c *cluster) {
				c.begin()
				time.Sleep(5 * time.Second)
				silent := c.nodes[3]
				c.setCut(func(from, _ *node) bool { return from == silent })
				worst := membership.Live
				for range tc.silence / (10 * time.Millisecond) {
					time.Sleep(10 * time.Millisecond)
					m, _ := c.nodes[0].control.Members().ByNode(silent.options.Node)
					worst = max(worst, m.State)
				}
				require.Equal(t, tc.want, worst)
				c.setCut(nil)
				c.until("live again", 30*time.Second, func() bool {
					m, _ := c.nodes[0].control.Members().ByNode(silent.options.Node)
					return m.State == membership.Live
				})
			})
		})
	}
}

// Guards against a list that lags: it shows an incarnation that has ended, and
// lacks one that has started.
func TestLaggingList(t *testing.T) {
	inCluster(t, 4, nil, func(t *testing.T, c *cluster) {
		c.begin()
		restarted, dead := c.nodes[2], c.nodes[3]
		stale := slices.Clone(c.platform.vms)
		oldIncarnation := restarted.options.Incarnation
		restarted.stop()
		dead.stop()
		restarted.start()
		c.platform.set(func() { c.platform.vms = stale })
		c.until("direct evidence outweighs the list", 30*time.Second, func() bool {
			r, _ := c.nodes[0].control.Members().ByNode(restarted.options.Node)
			d, _ := c.nodes[0].control.Members().ByNode(dead.options.Node)
			return r.State == membership.Live && r.Incarnation > oldIncarnation && d.State == membership.Failed
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		r, ok := c.nodes[0].control.Members().ByNode(restarted.options.Node)
		require.True(t, ok)
		require.Equal(t, membership.Live, r.State)
		dead.start()
	})
}

// Guards against a leaving process that still counts as able to take work.
func TestLeavingProcess(t *testing.T) {
	inCluster(t, 4, nil, func(t *testing.T, c *cluster) {
		c.begin()
		c.nodes[3].control.SetLeaving()
		require.False(t, c.nodes[3].control.Ready())
		c.until("peers know", target, func() bool {
			m, _ := c.nodes[0].control.Members().ByNode(c.nodes[3].options.Node)
			return m.State == membership.Leaving
		})
	})
}

// Guards against a process that stays behind an epoch that it has heard of on
// another message, when no exchange is due.
func TestNotedEpochStartsExchanges(t *testing.T) {
	rare := func(o *control.Options) {
		o.Gossip.Slots, o.Gossip.Interval, o.Gossip.RotationInterval = 3, time.Hour, time.Hour
		o.Gossip.RetryInterval, o.Gossip.MaxMissedReplies = 250*time.Millisecond, 2
	}
	inCluster(t, 4, rare, func(t *testing.T, c *cluster) {
		_, err := c.nodes[0].signOff(t.Context(), "first")
		require.NoError(t, err)
		c.until("ready", 10*time.Second, c.all(func(n *node) bool { return n.control.Ready() }))
		behind := c.nodes[3]
		behind.tableAway.Store(true)
		c.setCut(func(from, _ *node) bool { return from == behind })
		_, err = c.nodes[0].signOff(t.Context(), "second")
		require.NoError(t, err)
		time.Sleep(30 * time.Second)
		c.setCut(nil)
		require.Equal(t, core.Epoch(1), behind.control.Epoch())
		behind.control.ObserveEpoch(2)
		c.until("caught up", target, func() bool { return behind.control.Epoch() == 2 })
	})
}

// Guards against a subscriber that misses the latest view or holds up the facts
// duty.
func TestSubscriberGetsTheLatestView(t *testing.T) {
	inCluster(t, 1, nil, func(t *testing.T, c *cluster) {
		for i := range 3 {
			_, err := c.nodes[0].signOff(t.Context(), fmt.Sprint("bundle", i))
			require.NoError(t, err)
		}
		view, ok := c.nodes[0].views.TryReceive()
		require.True(t, ok)
		require.Equal(t, core.Epoch(3), view.Head.Epoch)
	})
}
