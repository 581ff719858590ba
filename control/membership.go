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
	// memberTickInterval is the interval between updates of the states that depend on
	// time.
	memberTickInterval = 500 * time.Millisecond
	// listInterval is the minimum time between two reads of the member list. One VM
	// takes about 100 bytes in the list, so listIntervalPerVM limits the reads of a
	// long list to about 1 KB/s for each process.
	listInterval      = 2 * time.Second
	listIntervalPerVM = 100 * time.Millisecond
	listTimeout       = 2 * time.Second
)

// runMembership owns the member table and publishes its snapshots.
func (c *Control) runMembership(ctx context.Context) error {
	memberTable := membership.New(c.opts.Membership)
	ticker := time.NewTicker(memberTickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now = <-ticker.C:
			memberTable.Tick(now)
		case <-c.memberLists.Ready():
			if members, ok := c.memberLists.TryReceive(); ok {
				memberTable.ApplyList(now, members)
			}
		case <-c.memberObservations.Ready():
			c.applyMemberObservations(memberTable, now)
		}
		if memberTable.Changed() {
			c.publishMembers(memberTable.Snapshot())
		}
	}
}

// applyMemberObservations applies all received observations to the member table.
func (c *Control) applyMemberObservations(memberTable *membership.Table, now time.Time) {
	for {
		observation, ok := c.memberObservations.TryReceive()
		if !ok {
			return
		}
		memberTable.Observe(now, observation)
	}
}

// publishMembers publishes a snapshot of the member table and logs changed states.
func (c *Control) publishMembers(members *membership.Members) {
	previous := c.members.Swap(members)
	c.gossipMembers.Push(members)
	for _, member := range members.All {
		old, found := previous.ByNode(member.Node)
		if found && old.State != member.State {
			c.log.WithFields(logrus.Fields{"event": "member_state", "member": member.Node, "from": old.State, "to": member.State}).Info("member changed state")
		}
	}
}

// runMemberList periodically reads the platform's member list.
func (c *Control) runMemberList(ctx context.Context) error {
	rng := c.rng(listStream)
	for {
		wait := listInterval
		if vms, err := c.readMemberList(ctx); err != nil {
			c.log.WithField("event", "list_unavailable").WithError(err).Warn("member list cannot be read")
		} else {
			c.memberLists.Push(membersFromVMs(vms))
			wait = max(wait, time.Duration(len(vms))*listIntervalPerVM)
		}
		jitter := time.Duration(rng.Int64N(int64(wait) / 4))
		if !duty.Pause(ctx, wait+jitter) {
			return ctx.Err()
		}
	}
}

func (c *Control) readMemberList(ctx context.Context) ([]stores.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return c.opts.Lister.List(ctx)
}

func membersFromVMs(vms []stores.VM) []membership.Member {
	members := make([]membership.Member, len(vms))
	for i, vm := range vms {
		state := membership.Live
		if vm.State == stores.VMLeaving {
			state = membership.Leaving
		}
		members[i] = membership.Member{
			Node: vm.Node, Incarnation: vm.Incarnation, Role: vm.Role,
			Domain: vm.FailureDomain, Address: vm.Address, State: state,
		}
	}
	return members
}
