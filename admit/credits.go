package admit

import (
	"container/list"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// holding is the unused credits of one watcher.
type holding struct {
	watcher core.NodeID
	count   int
	expires time.Time
	// rank is the position in credits.order.
	rank int
	// element is the position in credits.renewals.
	element *list.Element
}

// credits keeps account of the unused credits of all watchers.
type credits struct {
	holders map[core.NodeID]*holding
	// order numbers the watchers without gaps.
	order []*holding
	// renewals holds the watchers by expiry; all credits have the same life.
	renewals    *list.List
	outstanding int
}

func newCredits() credits {
	return credits{holders: make(map[core.NodeID]*holding), renewals: list.New()}
}

// grant replaces the credits of a watcher by its share of total. Together the
// watchers never hold more than total. When total does not divide evenly, the
// odd credits go round with time, so that a cold upstream with one credit is
// open to every watcher in turn.
func (c *credits) grant(now time.Time, watcher core.NodeID, total int, life time.Duration) int {
	h, ok := c.holders[watcher]
	if !ok {
		h = c.join(watcher)
	}
	c.outstanding -= h.count
	n := len(c.order)
	turn := int(now.UnixNano() / int64(max(life, 1)) % int64(n))
	h.count = min(SplitEvenly(total, n, (h.rank+turn)%n), max(0, total-c.outstanding))
	h.expires = now.Add(life)
	c.renewals.MoveToBack(h.element)
	c.outstanding += h.count
	return h.count
}

func (c *credits) join(watcher core.NodeID) *holding {
	h := &holding{watcher: watcher, rank: len(c.order)}
	h.element = c.renewals.PushBack(h)
	c.order = append(c.order, h)
	c.holders[watcher] = h
	return h
}

// spend takes the credit that a call used. A call without one spends nothing.
func (c *credits) spend(now time.Time, call Call) {
	h, ok := c.holders[call.Watcher]
	if !ok || call.Incarnation == 0 || h.count == 0 || now.After(h.expires) {
		return
	}
	h.count--
	c.outstanding--
}

// expire forgets watchers that have not renewed within the life of a credit.
func (c *credits) expire(now time.Time) {
	for e := c.renewals.Front(); e != nil; e = c.renewals.Front() {
		h := e.Value.(*holding)
		if !now.After(h.expires) {
			return
		}
		c.leave(h.watcher)
	}
}

func (c *credits) leave(watcher core.NodeID) {
	h, ok := c.holders[watcher]
	if !ok {
		return
	}
	c.outstanding -= h.count
	last := c.order[len(c.order)-1]
	c.order[h.rank] = last
	last.rank = h.rank
	c.order = c.order[:len(c.order)-1]
	c.renewals.Remove(h.element)
	delete(c.holders, watcher)
}

func (c *credits) clear() {
	for _, h := range c.order {
		h.count = 0
	}
	c.outstanding = 0
}
