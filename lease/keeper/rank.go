package keeper

import (
	"time"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/singleton"
)

const (
	// staggerDelay is the delay between the attempts of two processes with consecutive
	// ranks, so that the one with the lower rank acquires the lease without a conflict.
	staggerDelay = 150 * time.Millisecond
	// promptRanks is the number of processes that attempt to take over a lease as soon as it
	// may be acquired. It covers the loss of a failure domain and of several other VMs.
	promptRanks = 4
)

// rank returns the position of this process among the members for a subject.
func (k *Keeper) rank(subject singleton.Subject) int {
	members := k.opts.View().Members
	nodes := make([]core.NodeID, len(members))
	for i, m := range members {
		nodes[i] = m.Node
	}
	return rendezvous.Position(nodes, k.opts.Self.Node, string(subject))
}

func (k *Keeper) firstAttemptDelay(subject singleton.Subject) time.Duration {
	return delayOfRank(k.rank(subject), 0, k.opts.Gap)
}

func (k *Keeper) takeoverDelay(subject singleton.Subject, untilAvailable time.Duration) time.Duration {
	return delayOfRank(k.rank(subject), untilAvailable, k.opts.Gap)
}

// delayOfRank returns the delay until the next attempt of a process that is not the holder,
// given the time until the lease may be acquired unless it is renewed. The reads of ranks
// beyond the first ones become rarer with the rank, so that the reads of all processes grow
// only with the logarithm of their number.
func delayOfRank(rank int, untilAvailable, gap time.Duration) time.Duration {
	delay := untilAvailable + time.Duration(min(rank, promptRanks))*staggerDelay
	if rank >= promptRanks {
		delay += time.Duration(rank-promptRanks+1) * gap
	}
	return delay
}

// observeView schedules attempts for the subjects whose recorded holder is no longer a
// member, and records the generation of the store's content.
func (k *Keeper) observeView() {
	v := k.opts.View()
	listed := make(map[core.NodeID]bool, len(v.Members))
	for _, m := range v.Members {
		listed[holderID(m)] = true
	}
	k.observeGeneration(v.Generation)
	now := clock.SinceBoot()
	for subject, c := range k.candidates {
		if c.since == 0 && c.holder != "" && !listed[c.holder] {
			c.holder = "" // at most one early attempt for each departure
			c.nextAttempt = min(c.nextAttempt, now+delayOfRank(k.rank(subject), 0, k.opts.Gap))
		}
	}
}
