package control

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/gossip"
	"waxwingtide.example/waxwingtide/membership"
)

const (
	readInterval = time.Second
	readTimeout  = 2 * time.Second
	// unreadyBackoff bounds the pause of a process that is no reader and not
	// ready, so that many such processes do not add to the load of the table.
	unreadyBackoff = 8 * time.Second
)

// readerDuty reads the head and the restrictions from the table while this
// process is one of the readers of its failure domain, or not ready.
type readerDuty struct {
	c *Control
	// Versions of the rows that were last merged.
	head, restrictions uint64
	// attempts counts the turns that left this process not ready.
	attempts int
	failing  bool
}

func (c *Control) runReader(ctx context.Context) error {
	r := &readerDuty{c: c}
	rng := c.rng(readerStream)
	for {
		wait := readInterval
		if reader := c.isReader(); reader || !c.ready.Load() {
			r.turn(ctx)
			if !reader {
				wait = min(readInterval<<min(r.attempts, 10), unreadyBackoff)
				r.attempts++
			}
		}
		wait = wait*3/4 + time.Duration(rng.Int64N(int64(wait)/2))
		if !duty.Pause(ctx, wait) {
			return ctx.Err()
		}
	}
}

// isReader reports whether this process reads the table for its failure
// domain. Without a member list every process would be one, so none is.
func (c *Control) isReader() bool {
	members := c.members.Load()
	if last := c.reader.Load(); last != nil && last.members == members {
		return last.chosen
	}
	live, _, _ := c.peersOf(members)
	chosen := len(members.All) > 0 && gossip.IsReader(c.opts.Node, c.opts.FailureDomain, live)
	c.reader.Store(&readerChoice{members, chosen})
	return chosen
}

// readerChoice is the choice of readers for one member snapshot.
type readerChoice struct {
	members *membership.Members
	chosen  bool
}

func (r *readerDuty) turn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := r.readHead(ctx)
	if err == nil {
		err = r.readRestrictions(ctx)
	}
	if err != nil && !r.failing {
		r.c.log.WithField("event", "table_unreadable").WithError(err).Warn("facts cannot be read from the table")
	}
	r.failing = err != nil
}

func (r *readerDuty) readHead(ctx context.Context) error {
	row, err := r.c.table.Get(ctx, headKey)
	if err != nil {
		return err
	}
	if row.Version == r.head {
		r.heard()
		return nil
	}
	h, err := decodeHead(row)
	if err != nil {
		return err
	}
	// The epoch counts even when the bundle cannot be fetched: peers may have it.
	r.c.heard.Push(hearing{table: true, epoch: h.Epoch})
	if err := r.c.adopt(ctx, h); err != nil {
		return err
	}
	r.head = row.Version
	r.heard()
	return nil
}

// heard tells the readiness rule that the table was read. The wake-up lets the
// rule run after the head has been merged.
func (r *readerDuty) heard() {
	r.c.heard.Push(hearing{table: true, epoch: r.c.Epoch()})
}

// adopt puts a head from the table in force, with its bundle.
func (c *Control) adopt(ctx context.Context, h facts.Head) error {
	if h.Epoch <= c.Epoch() {
		return nil
	}
	b, err := c.bundleFor(ctx, h.BundleDigest)
	if err != nil {
		return err
	}
	return c.merge(ctx, update{facts: facts.Update{Head: &h, Bundle: b}})
}

func (r *readerDuty) readRestrictions(ctx context.Context) error {
	row, err := r.c.table.Get(ctx, restrictionsKey)
	if err != nil || row.Version == r.restrictions {
		return err
	}
	list, err := decodeRestrictions(row)
	if err != nil {
		return err
	}
	if err := r.c.merge(ctx, update{facts: facts.Update{PersistedRestrictions: list}}); err != nil {
		return err
	}
	r.restrictions = row.Version
	return nil
}
