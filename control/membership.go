package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/membership"
	"waxwingtide.example/waxwingtide/stores"
)

const (
	memberTick = 500 * time.Millisecond
	// listInterval is the least time between two readings of the list. An entry
	// takes about 100 bytes, so listIntervalPerEntry keeps a long list to about
	// 1 KB/s for each process.
	listInterval         = 2 * time.Second
	listIntervalPerEntry = 100 * time.Millisecond
	listTimeout          = 2 * time.Second
)

// runMembership owns the member table.
func (c *Control) runMembership(ctx context.Context) error {
	table := membership.New(c.opts.Membership)
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	for {
		now := time.Now()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now = <-ticker.C:
			table.Tick(now)
		case <-c.lists.Ready():
			if entries, ok := c.lists.TryReceive(); ok {
				table.ApplyList(now, entries)
			}
		case <-c.evidence.Ready():
			c.observeAll(table, now)
		}
		if table.Changed() {
			c.publishMembers(table.Snapshot())
		}
	}
}

func (c *Control) observeAll(table *membership.Table, now time.Time) {
	for {
		e, ok := c.evidence.TryReceive()
		if !ok {
			return
		}
		table.Observe(now, e)
	}
}

func (c *Control) publishMembers(m *membership.Members) {
	before := c.members.Swap(m)
	c.gossipPeers.Push(m)
	for _, member := range m.All {
		old, known := before.ByNode(member.Node)
		if known && old.State != member.State {
			c.log.WithFields(logrus.Fields{"event": "member_state", "member": member.Node, "from": old.State, "to": member.State}).Info("member changed state")
		}
	}
}

// runList reads the platform's list.
func (c *Control) runList(ctx context.Context) error {
	rng := c.rng(listStream)
	for {
		wait := listInterval
		if vms, err := c.readList(ctx); err != nil {
			c.log.WithField("event", "list_unavailable").WithError(err).Warn("membership list cannot be read")
		} else {
			c.lists.Push(membersFrom(vms))
			wait = max(wait, time.Duration(len(vms))*listIntervalPerEntry)
		}
		jitter := time.Duration(rng.Int64N(int64(wait) / 4))
		if !duty.Pause(ctx, wait+jitter) {
			return ctx.Err()
		}
	}
}

func (c *Control) readList(ctx context.Context) ([]stores.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return c.opts.Lister.List(ctx)
}

func membersFrom(vms []stores.VM) []membership.Member {
	out := make([]membership.Member, len(vms))
	for i, vm := range vms {
		state := membership.Live
		if vm.State == stores.VMLeaving {
			state = membership.Leaving
		}
		out[i] = membership.Member{
			Node: vm.Node, Incarnation: vm.Incarnation, Role: vm.Role,
			Domain: vm.FailureDomain, Address: vm.Address, State: state,
		}
	}
	return out
}
