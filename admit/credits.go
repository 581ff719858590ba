package admit

import (
	"container/list"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// watcherCredits records the unused credits of one watcher.
type watcherCredits struct {
	watcher   core.NodeID
	count     int
	expiresAt time.Time
	// index is the index in credits.watchers.
	index int
	// element is the element of credits.byExpiry.
	element *list.Element
}

// credits records the unused credits of all watchers.
type credits struct {
	byWatcher map[core.NodeID]*watcherCredits
	// watchers contains the same records in an arbitrary sequence.
	watchers []*watcherCredits
	// byExpiry contains the watchers sorted by expiry. A renewal moves a watcher to the
	// back, because all credits have the same lifetime.
	byExpiry    *list.List
	outstanding int
}

func newCredits() credits {
	return credits{byWatcher: make(map[core.NodeID]*watcherCredits), byExpiry: list.New()}
}

// grant replaces the credits of a watcher by its portion of total. A grant never raises
// the sum over all watchers above total. If total does not divide evenly, the remaining
// credits rotate between the watchers with time, so that each watcher sometimes gets the
// only credit of a cold upstream.
func (c *credits) grant(now time.Time, watcher core.NodeID, total int, lifetime time.Duration) int {
	w, ok := c.byWatcher[watcher]
	if !ok {
		w = c.addWatcher(watcher)
	}
	c.outstanding -= w.count
	n := len(c.watchers)
	rotation := int(now.UnixNano() / int64(max(lifetime, 1)) % int64(n))
	w.count = min(SplitEvenly(total, n, (w.index+rotation)%n), max(0, total-c.outstanding))
	w.expiresAt = now.Add(lifetime)
	c.byExpiry.MoveToBack(w.element)
	c.outstanding += w.count
	return w.count
}

func (c *credits) addWatcher(watcher core.NodeID) *watcherCredits {
	w := &watcherCredits{watcher: watcher, index: len(c.watchers)}
	w.element = c.byExpiry.PushBack(w)
	c.watchers = append(c.watchers, w)
	c.byWatcher[watcher] = w
	return w
}

// useCredit removes the credit that a call used. It does nothing for a call without a valid
// credit.
func (c *credits) useCredit(now time.Time, call Call) {
	w, ok := c.byWatcher[call.Watcher]
	if !ok || call.Incarnation == 0 || w.count == 0 || now.After(w.expiresAt) {
		return
	}
	w.count--
	c.outstanding--
}

// expire removes the watchers that have not renewed their credits within the credit
// lifetime.
func (c *credits) expire(now time.Time) {
	for e := c.byExpiry.Front(); e != nil; e = c.byExpiry.Front() {
		w := e.Value.(*watcherCredits)
		if !now.After(w.expiresAt) {
			return
		}
		c.removeWatcher(w.watcher)
	}
}

func (c *credits) removeWatcher(watcher core.NodeID) {
	w, ok := c.byWatcher[watcher]
	if !ok {
		return
	}
	c.outstanding -= w.count
	last := c.watchers[len(c.watchers)-1]
	c.watchers[w.index] = last
	last.index = w.index
	c.watchers = c.watchers[:len(c.watchers)-1]
	c.byExpiry.Remove(w.element)
	delete(c.byWatcher, watcher)
}

// clear removes the credits of all watchers but not the watchers.
func (c *credits) clear() {
	for _, w := range c.watchers {
		w.count = 0
	}
	c.outstanding = 0
}
