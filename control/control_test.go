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

// propagationTarget is the maximum time until a change is in force in all processes.
const propagationTarget = 4 * time.Second

// Guards against a first bundle that is not received by every process, and against a
// process that is ready without a bundle.
func TestFirstBundleReachesEveryProcess(t *testing.T) {
	withCluster(t, 6, nil, func(t *testing.T, c *cluster) {
		time.Sleep(5 * time.Second)
		for _, n := range c.nodes {
			require.False(t, n.control.Ready())
		}
		head, err := c.nodes[0].signOff(t.Context(), "first")
		require.NoError(t, err)
		require.Equal(t, core.Epoch(1), head.Epoch)
		require.Equal(t, core.Epoch(1), head.BundleEpoch)
		c.waitForEpoch(1, propagationTarget)
		trail, err := c.nodes[1].control.AuditTrail(t.Context(), "", 10)
		require.NoError(t, err)
		require.Len(t, trail, 1)
		require.Equal(t, "sign_off", trail[0].Action)
	})
}

// Guards against an epoch that decreases when processes restart during an outage of the
// table, and against a process that is ready before the last epoch is in force.
func TestEpochDoesNotRevertAcrossRestarts(t *testing.T) {
	withCluster(t, 6, nil, func(t *testing.T, c *cluster) {
		for i := 1; i <= 3; i++ {
			_, err := c.nodes[i].signOff(t.Context(), fmt.Sprint("bundle", i))
			require.NoError(t, err)
		}
		c.waitForEpoch(3, propagationTarget)
		c.platform.update(func() { c.platform.unavailable = true })
		for _, n := range c.nodes {
			n.stop()
			n.start()
			for range 500 {
				time.Sleep(10 * time.Millisecond)
				for _, other := range c.nodes {
					require.False(t, other.control.Ready() && other.control.Epoch() != 3, "ready with an old epoch")
				}
			}
			require.True(t, n.control.Ready(), "peers in all domains have the epoch in force")
		}
		for _, n := range c.nodes {
			n.stop()
		}
		for _, n := range c.nodes {
			n.start()
		}
		time.Sleep(30 * time.Second)
		for _, n := range c.nodes {
			require.False(t, n.control.Ready(), "no process has a head")
		}
		c.platform.update(func() { c.platform.unavailable = false })
		c.waitForEpoch(3, 20*time.Second)
	})
}

// Guards against restrictions that are not put in force while the table is unavailable,
// that are written to the table twice or in the wrong sequence after the outage, or that
// are lost when their origin fails.
func TestRestrictionsDuringTableOutage(t *testing.T) {
	for _, originFails := range []bool{false, true} {
		t.Run(fmt.Sprint("origin fails ", originFails), func(t *testing.T) {
			withCluster(t, 6, nil, func(t *testing.T, c *cluster) {
				c.signOffFirst()
				c.platform.update(func() { c.platform.unavailable = true })
				var want []string
				for i, n := range []int{4, 1, 4, 2, 4} {
					name := fmt.Sprint("u", 9-i)
					want = append(want, name)
					require.NoError(t, c.nodes[n].control.Restrict(t.Context(), facts.Restriction{Subject: upstreamSubject(name)}))
					c.waitUntil("restriction everywhere", propagationTarget, c.onRunningNodes(func(n *node) bool {
						return !n.control.View().Allowed(upstreamSubject(name))
					}))
				}
				if originFails {
					c.nodes[4].stop()
					defer c.nodes[4].start()
				}
				time.Sleep(time.Minute)
				c.platform.update(func() { c.platform.unavailable = false })
				require.Empty(t, c.auditedRestrictions())
				c.waitUntil("audit complete", 20*time.Second, func() bool { return len(c.auditedRestrictions()) == len(want) })
				time.Sleep(20 * time.Second)
				require.Equal(t, want, c.auditedRestrictions(), "each restriction is written once, in the sequence in which they were raised")
			})
		})
	}
}

// Guards against a restriction that Clear does not lift, that is in force again after it
// was lifted, or that is lifted by a permission for another subject.
func TestRestrictionIsLiftedOnlyByClear(t *testing.T) {
	withCluster(t, 3, nil, func(t *testing.T, c *cluster) {
		c.signOffFirst()
		for _, name := range []string{"u1", "u2"} {
			require.NoError(t, c.nodes[1].control.Restrict(t.Context(), facts.Restriction{Subject: upstreamSubject(name)}))
		}
		time.Sleep(propagationTarget)
		lift := func(h facts.Head) (facts.Head, error) {
			h.Clear(upstreamSubject("u1"))
			return h, nil
		}
		_, err := c.nodes[2].control.Permit(t.Context(), "lift", lift, control.AuditEntry{Action: "return"})
		require.NoError(t, err)
		c.waitForEpoch(2, propagationTarget)
		row, err := fakeTable{c.platform, nil}.Get(t.Context(), stores.Key{Partition: "head", Sort: "restrictions"})
		require.NoError(t, err)
		require.NotContains(t, string(row.Value), "u1")
		require.Contains(t, string(row.Value), "u2")
		for range 2 {
			for _, n := range c.nodes {
				require.True(t, n.control.View().Allowed(upstreamSubject("u1")))
				require.False(t, n.control.View().Allowed(upstreamSubject("u2")))
				n.stop()
				n.start()
			}
			c.waitForEpoch(2, 20*time.Second)
		}
	})
}

// Guards against a bundle change that is sent as a full body instead of a patch, and
// against a process that does not recover after it missed the base of a patch.
func TestLargeBundleIsSentAsPatch(t *testing.T) {
	withCluster(t, 6, nil, func(t *testing.T, c *cluster) {
		body := func(i int) string {
			lines := strings.Repeat("an upstream with many settings\n", 1000)
			return fmt.Sprint("bundle version ", i, "\n", lines, "end of version ", i, "\n")
		}
		size := int64(len(body(1)))
		for i := 1; i <= 4; i++ {
			partitioned := c.nodes[5]
			isPartitioned := i == 2 || i == 3
			partitioned.tableUnavailable.Store(isPartitioned)
			c.setPartition(func(source, _ *node) bool { return isPartitioned && source == partitioned })
			oldBytes := c.net.bytes.Load()
			_, err := c.nodes[0].signOffBody(t.Context(), fmt.Sprint("op", i), body(i))
			require.NoError(t, err)
			c.waitUntil("new bundle", propagationTarget, func() bool { return c.nodes[4].control.Epoch() == core.Epoch(i) })
			if !isPartitioned {
				c.waitForEpoch(core.Epoch(i), 30*time.Second)
			}
			sentBytes := c.net.bytes.Load() - oldBytes
			t.Logf("version %d of a bundle of %d bytes, one process partitioned %v: %d bytes sent", i, size, isPartitioned, sentBytes)
			if isPartitioned {
				require.Less(t, sentBytes, size, "no full body was sent")
			}
		}
	})
}

// Guards against a process that suspects its peers because it cannot read the bundle that
// they send.
func TestUnreadableBundleDoesNotSuspectPeers(t *testing.T) {
	rejectLaterBundle := func(o *control.Options) {
		if parse := o.ParseBundle; o.Node == "n0002" {
			o.ParseBundle = func(body []byte) (*bundle.Index, error) {
				if strings.Contains(string(body), "later") {
					return nil, errs.New(errs.Invalid, "update the program", "unknown field")
				}
				return parse(body)
			}
		}
	}
	withCluster(t, 3, rejectLaterBundle, func(t *testing.T, c *cluster) {
		c.signOffFirst()
		_, err := c.nodes[0].signOff(t.Context(), "later")
		require.NoError(t, err)
		time.Sleep(time.Minute)
		require.Equal(t, core.Epoch(1), c.nodes[2].control.Epoch())
		for _, m := range c.nodes[2].control.Members().All {
			require.Equal(t, membership.Live, m.State)
		}
	})
}

// Guards against a permission that takes effect twice, or whose result is reported
// incorrectly, when the response of the table is lost.
func TestLostTableResponses(t *testing.T) {
	cases := map[string]struct {
		unavailableAfterLoss bool
		wantKind             errs.Kind
	}{
		"the id can be read back":    {false, 0},
		"the id cannot be read back": {true, errs.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 3, nil, func(t *testing.T, c *cluster) {
				c.platform.update(func() { c.platform.responsesToLose, c.platform.unavailableAfterLoss = 1, tc.unavailableAfterLoss })
				_, err := c.nodes[0].signOff(t.Context(), "op")
				if tc.wantKind != 0 {
					require.True(t, errs.Is(err, tc.wantKind), "%v", err)
				} else {
					require.NoError(t, err)
				}
				c.platform.update(func() { c.platform.unavailable, c.platform.unavailableAfterLoss = false, false })
				head, err := c.nodes[1].signOff(t.Context(), "op")
				require.NoError(t, err)
				require.Equal(t, core.Epoch(1), head.Epoch, "the same id takes effect once")
				c.waitForEpoch(1, 10*time.Second)
			})
		})
	}
}

// Guards against a restriction whose audit row is written twice when the response of the
// table is lost.
func TestLostResponseToAuditWrite(t *testing.T) {
	withCluster(t, 3, nil, func(t *testing.T, c *cluster) {
		c.signOffFirst()
		c.platform.update(func() { c.platform.responsesToLose = 1 })
		require.NoError(t, c.nodes[1].control.Restrict(t.Context(), facts.Restriction{Subject: upstreamSubject("u1")}))
		time.Sleep(30 * time.Second)
		require.Equal(t, []string{"u1"}, c.auditedRestrictions())
	})
}

// Guards against two changes that get the same epoch, and against a change that is lost,
// when operators change the head concurrently.
func TestConcurrentPermits(t *testing.T) {
	const operators = 8
	withCluster(t, 6, nil, func(t *testing.T, c *cluster) {
		c.signOffFirst()
		c.platform.update(func() { c.platform.delay = 20 * time.Millisecond })
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
		c.waitForEpoch(1+operators, propagationTarget)
		total := 0
		for _, n := range conflicts {
			total += n
		}
		require.Positive(t, total, "some concurrent changes conflict")
		trail, err := c.nodes[0].control.AuditTrail(t.Context(), "", 100)
		require.NoError(t, err)
		require.Len(t, trail, 1+operators)
		for i, entry := range trail {
			require.Equal(t, core.Epoch(i+1), entry.Epoch)
		}
	})
}

// Guards against a head with a bundle that cannot be loaded, operations without an id,
// invalid bundles, restrictions without a subject, and an incorrect error kind while the
// table is unavailable.
func TestInvalidPermits(t *testing.T) {
	withCluster(t, 3, nil, func(t *testing.T, c *cluster) {
		ctl := c.nodes[0].control
		missingBundle := func(h facts.Head) (facts.Head, error) {
			h.BundleDigest = "0123"
			return h, nil
		}
		_, err := ctl.Permit(t.Context(), "op", missingBundle, control.AuditEntry{})
		require.True(t, errs.Is(err, errs.NotFound), "%v", err)
		_, err = ctl.Permit(t.Context(), "", missingBundle, control.AuditEntry{})
		require.True(t, errs.Is(err, errs.Invalid), "%v", err)
		_, err = ctl.StoreBundle(t.Context(), []byte("text"))
		require.True(t, errs.Is(err, errs.Invalid), "%v", err)
		require.True(t, errs.Is(ctl.Restrict(t.Context(), facts.Restriction{}), errs.Invalid))
		c.platform.update(func() { c.platform.unavailable = true })
		_, err = ctl.Permit(t.Context(), "op", missingBundle, control.AuditEntry{})
		require.True(t, errs.Is(err, errs.Unavailable), "%v", err)
	})
}

// Guards against two processes that run the leased work at the same time when the lease
// holder gets no responses from the table, and against orders with an old fence.
func TestLeaseHolderLosesTable(t *testing.T) {
	withLease := func(o *control.Options) {
		// This function is never called. It only makes the processes contend for the
		// lease, and start replaces it.
		o.OnLease = func(context.Context, core.Fence) error { return nil }
	}
	withCluster(t, 3, withLease, func(t *testing.T, c *cluster) {
		findHolder := func() (*node, core.Fence) {
			var holder *node
			var fence core.Fence
			for _, n := range c.nodes {
				if f, ok := n.control.HeldFence(); ok {
					require.Nil(t, holder, "two processes hold the lease")
					holder, fence = n, f
				}
			}
			return holder, fence
		}
		var fenceChecker lease.FenceChecker
		for round := range 3 {
			var first *node
			var fence core.Fence
			c.waitUntil("a process holds the lease", 30*time.Second, func() bool {
				first, fence = findHolder()
				return first != nil
			})
			require.Equal(t, core.Fence(round+1), fence)
			time.Sleep(time.Minute)
			current, currentFence := findHolder()
			require.Equal(t, first, current, "the holder renews the lease")
			require.Equal(t, fence, currentFence)
			first.tableUnavailable.Store(true)
			c.waitUntil("the holder stops", 10*time.Second, func() bool {
				findHolder()
				return first.onLeaseCalls.Load() == 0
			})
			second, _ := findHolder()
			require.Nil(t, second, "no other process holds the lease when the holder stops")
			var nextFence core.Fence
			c.waitUntil("another process holds the lease", 30*time.Second, func() bool {
				second, nextFence = findHolder()
				return second != nil
			})
			require.NotEqual(t, first, second)
			require.True(t, fenceChecker.Accept(nextFence))
			require.False(t, fenceChecker.Accept(fence), "orders with the old fence are rejected")
			first.tableUnavailable.Store(false)
		}
	})
}

// Guards against facts that are lost in a partition between failure domains while the
// table is unavailable, and against sides of the partition that do not reconnect after
// it has healed.
func TestPartitionBetweenFailureDomains(t *testing.T) {
	withCluster(t, 9, nil, func(t *testing.T, c *cluster) {
		c.signOffFirst()
		c.platform.update(func() { c.platform.unavailable = true })
		c.setPartition(func(source, destination *node) bool {
			return source.options.FailureDomain == "a" && destination.options.FailureDomain != "a"
		})
		require.NoError(t, c.nodes[0].control.Restrict(t.Context(), facts.Restriction{Subject: upstreamSubject("in a")}))
		require.NoError(t, c.nodes[1].control.Restrict(t.Context(), facts.Restriction{Subject: upstreamSubject("in b")}))
		time.Sleep(2 * time.Minute)
		for _, n := range c.nodes {
			inA := n.options.FailureDomain == "a"
			require.Equal(t, !inA, n.control.View().Allowed(upstreamSubject("in a")))
			require.Equal(t, inA, n.control.View().Allowed(upstreamSubject("in b")))
			require.True(t, n.control.Ready(), "a ready process remains ready")
		}
		c.setPartition(nil)
		c.waitUntil("both restrictions everywhere", 30*time.Second, c.onRunningNodes(func(n *node) bool {
			return !n.control.View().Allowed(upstreamSubject("in a")) && !n.control.View().Allowed(upstreamSubject("in b"))
		}))
		c.platform.update(func() { c.platform.unavailable = false })
		c.waitUntil("audit", 30*time.Second, func() bool { return len(c.auditedRestrictions()) == 2 })
	})
}

// Guards against a process that is considered failed after it was unreachable for a short
// time, and against one that is not considered failed after a long time.
func TestUnreachableMemberState(t *testing.T) {
	cases := map[string]struct {
		unreachableTime time.Duration
		want            membership.State
	}{
		"short": {4 * time.Second, membership.Suspect},
		"long":  {time.Minute, membership.Failed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 4, nil, func(t *testing.T, c *cluster) {
				c.signOffFirst()
				time.Sleep(5 * time.Second)
				unreachable := c.nodes[3]
				c.setPartition(func(source, _ *node) bool { return source == unreachable })
				worstState := membership.Live
				for range tc.unreachableTime / (10 * time.Millisecond) {
					time.Sleep(10 * time.Millisecond)
					m, _ := c.nodes[0].control.Members().ByNode(unreachable.options.Node)
					worstState = max(worstState, m.State)
				}
				require.Equal(t, tc.want, worstState)
				c.setPartition(nil)
				c.waitUntil("live again", 30*time.Second, func() bool {
					m, _ := c.nodes[0].control.Members().ByNode(unreachable.options.Node)
					return m.State == membership.Live
				})
			})
		})
	}
}

// Guards against incorrect states when the member list lags, that is, when it contains an
// incarnation that has ended and lacks one that has started.
func TestLaggingMemberList(t *testing.T) {
	withCluster(t, 4, nil, func(t *testing.T, c *cluster) {
		c.signOffFirst()
		restarted, stopped := c.nodes[2], c.nodes[3]
		staleVMs := slices.Clone(c.platform.vms)
		oldIncarnation := restarted.options.Incarnation
		restarted.stop()
		stopped.stop()
		restarted.start()
		c.platform.update(func() { c.platform.vms = staleVMs })
		c.waitUntil("observations take precedence over the list", 30*time.Second, func() bool {
			restartedMember, _ := c.nodes[0].control.Members().ByNode(restarted.options.Node)
			stoppedMember, _ := c.nodes[0].control.Members().ByNode(stopped.options.Node)
			return restartedMember.State == membership.Live && restartedMember.Incarnation > oldIncarnation && stoppedMember.State == membership.Failed
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		restartedMember, ok := c.nodes[0].control.Members().ByNode(restarted.options.Node)
		require.True(t, ok)
		require.Equal(t, membership.Live, restartedMember.State)
		stopped.start()
	})
}

// Guards against a leaving process that is still ready, or live for its peers.
func TestLeavingProcess(t *testing.T) {
	withCluster(t, 4, nil, func(t *testing.T, c *cluster) {
		c.signOffFirst()
		c.nodes[3].control.SetLeaving()
		require.False(t, c.nodes[3].control.Ready())
		c.waitUntil("a peer has received the state", propagationTarget, func() bool {
			m, _ := c.nodes[0].control.Members().ByNode(c.nodes[3].options.Node)
			return m.State == membership.Leaving
		})
	})
}

// Guards against a process that does not fetch an epoch passed to ObserveEpoch, because
// no exchange is due.
func TestObservedEpochStartsExchanges(t *testing.T) {
	rareExchanges := func(o *control.Options) {
		o.Gossip.Slots, o.Gossip.Interval, o.Gossip.RotationInterval = 3, time.Hour, time.Hour
		o.Gossip.RetryInterval, o.Gossip.MaxMissedReplies = 250*time.Millisecond, 2
	}
	withCluster(t, 4, rareExchanges, func(t *testing.T, c *cluster) {
		_, err := c.nodes[0].signOff(t.Context(), "first")
		require.NoError(t, err)
		c.waitUntil("ready", 10*time.Second, c.onRunningNodes(func(n *node) bool { return n.control.Ready() }))
		lagging := c.nodes[3]
		lagging.tableUnavailable.Store(true)
		c.setPartition(func(source, _ *node) bool { return source == lagging })
		_, err = c.nodes[0].signOff(t.Context(), "second")
		require.NoError(t, err)
		time.Sleep(30 * time.Second)
		c.setPartition(nil)
		require.Equal(t, core.Epoch(1), lagging.control.Epoch())
		lagging.control.ObserveEpoch(2)
		c.waitUntil("caught up", propagationTarget, func() bool { return lagging.control.Epoch() == 2 })
	})
}

// Guards against a slow subscriber that does not receive the latest view or that blocks
// the facts duty.
func TestSubscriberReceivesLatestView(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, c *cluster) {
		for i := range 3 {
			_, err := c.nodes[0].signOff(t.Context(), fmt.Sprint("bundle", i))
			require.NoError(t, err)
		}
		view, ok := c.nodes[0].views.TryReceive()
		require.True(t, ok)
		require.Equal(t, core.Epoch(3), view.Head.Epoch)
	})
}
