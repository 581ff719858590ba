package callerhttp

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/ring"
)

const (
	// connChangeCapacity is the number of connection changes that may wait for the
	// duty. Senders wait for space, so that the duty knows all connections.
	connChangeCapacity = 1024
	// connCheckInterval is the interval between two checks for expired connections.
	connCheckInterval = time.Second
	// drainCheckInterval is the interval between two checks for quiet connections
	// during a drain.
	drainCheckInterval = 25 * time.Millisecond
	// drainQuietTime is the time without a byte after which a drain closes a connection
	// that has no request. It is longer than a request needs to arrive after the
	// connection was opened or the response before was sent.
	drainQuietTime = 300 * time.Millisecond
	// defaultIdleTimeout and defaultHeaderTimeout apply if the configuration sets no
	// timeout.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
)

// Timeouts limit the time for which a connection waits for its client. 0 selects
// the default.
type Timeouts struct {
	// Header is the maximum time from the first byte of a request to the end of its
	// headers.
	Header time.Duration
	// Idle is the maximum time without a request.
	Idle time.Duration
}

// withDefaults returns the timeouts with the defaults in place of 0.
func (t Timeouts) withDefaults() Timeouts {
	if t.Header <= 0 {
		t.Header = defaultHeaderTimeout
	}
	if t.Idle <= 0 {
		t.Idle = defaultIdleTimeout
	}
	return t
}

// connPhase states what a connection waits for.
type connPhase uint8

const (
	// notWaiting connections serve a request.
	notWaiting connPhase = iota
	awaitingRequest
	awaitingHeader
)

// waitState is the phase of a connection and its start. Each byte that is read while
// no request is expected starts the phase anew.
type waitState struct {
	phase connPhase
	since time.Time
}

// isQuiet reports whether a connection has had no request and no byte for a time.
func (w waitState) isQuiet(now time.Time, quietTime time.Duration) bool {
	return w.phase == awaitingRequest && now.Sub(w.since) >= quietTime
}

// isHeaderLate reports whether the headers of a request have exceeded the timeout.
func (w waitState) isHeaderLate(now time.Time, timeouts Timeouts) bool {
	return w.phase == awaitingHeader && now.Sub(w.since) > timeouts.Header
}

// connDuty is the duty that closes connections whose clients exceed the timeouts and,
// during a drain, quiet connections.
type connDuty struct {
	// listener is the name of the listener in log lines.
	listener string
	changes  *ring.Ring[connChange]
	drains   *ring.Ring[drainRequest]
	timeouts func() Timeouts
	log      logrus.FieldLogger
	guard    guard
	// encrypted listeners use TLS.
	encrypted bool
	// draining is closed when a drain begins.
	draining chan struct{}
	// abandoned is set when all connections are closed at once.
	abandoned atomic.Bool
}

// connChange is an opened or closed connection, or the end of the listener.
type connChange struct {
	conn         *conn // nil if the listener has ended
	closed       bool
	listenerDone bool
}

// drainRequest requests the end of all connections. The reply is sent when there are
// none left and the listener has ended.
type drainRequest struct{ replies *ring.Ring[struct{}] }

func newConnDuty(listener string, timeouts func() Timeouts, log logrus.FieldLogger) *connDuty {
	return &connDuty{
		listener: listener, changes: ring.New[connChange](connChangeCapacity), drains: ring.New[drainRequest](1), timeouts: timeouts, log: log,
		draining: make(chan struct{}),
	}
}

func (d *connDuty) isDraining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// notify sends a change. It fails only after the duty has ended.
func (d *connDuty) notify(change connChange) { _ = d.changes.Send(context.Background(), change) }

// connTable is the state of the duty.
type connTable struct {
	open         map[*conn]struct{}
	listenerDone bool
	drain        *drainRequest
}

func (t *connTable) apply(c connChange) {
	switch {
	case c.listenerDone:
		t.listenerDone = true
	case c.closed:
		delete(t.open, c.conn)
	default:
		t.open[c.conn] = struct{}{}
	}
}

// run is the duty's loop.
func (d *connDuty) run(ctx context.Context) error {
	defer d.changes.Close()
	defer d.drains.Close()
	ticker := time.NewTicker(connCheckInterval)
	defer ticker.Stop()
	table := connTable{open: make(map[*conn]struct{})}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.changes.Ready():
		case <-d.drains.Ready():
			if request, ok := d.drains.TryReceive(); ok {
				table.drain = &request
				ticker.Reset(drainCheckInterval)
			}
		case <-ticker.C:
			d.closeWaiting(&table, time.Now())
		}
		for c, ok := d.changes.TryReceive(); ok; c, ok = d.changes.TryReceive() {
			table.apply(c)
		}
		if table.drain != nil && table.listenerDone && len(table.open) == 0 {
			table.drain.replies.Offer(struct{}{})
		}
	}
}

// waitLimits are the timeouts that one check applies.
type waitLimits struct {
	header, idle time.Duration
	// progress is the time without a byte of a body or of a response.
	progress time.Duration
}

// waitLimits returns the timeouts in force. They are shorter in a drain, and for clients
// that have begun a request while memory or connections are short.
func (d *connDuty) waitLimits(table *connTable) waitLimits {
	timeouts := d.timeouts().withDefaults()
	limits := waitLimits{header: timeouts.Header, idle: timeouts.Idle, progress: timeouts.Idle}
	if table.drain != nil {
		limits.idle = min(limits.idle, drainQuietTime)
	}
	if d.guard.isShort() {
		limits.header = min(limits.header, pressureTimeout)
		limits.progress = min(limits.progress, pressureTimeout)
	}
	return limits
}

// closeWaiting closes the connections whose timeouts have expired and, during a drain,
// quiet ones. Connections that are too many are closed as quiet ones, those first that have
// been quiet for the longest time.
func (d *connDuty) closeWaiting(table *connTable, now time.Time) {
	limits := d.waitLimits(table)
	idleCount, headerCount, stalledCount := 0, 0, 0
	var quiet []*conn
	for c := range table.open {
		switch state := c.waitState(); {
		case state.isHeaderLate(now, Timeouts{Header: limits.header}):
			if unreadBytes(c.TCPConn) > 0 {
				continue // the process is late, not the client
			}
			c.closeIfLate(state)
			headerCount++
		case state.isQuiet(now, limits.idle):
			c.closeIfQuiet(limits.idle)
			idleCount++
		case state.isQuiet(now, pressureTimeout):
			quiet = append(quiet, c)
		case c.closeUnread(now, limits.progress):
			stalledCount++
		case c.isStalled(now, limits.progress) && unreadBytes(c.TCPConn) == 0:
			c.closeIfStalled()
			stalledCount++
		}
	}
	evictedCount := d.evict(quiet)
	d.guard.stalled.Add(int64(stalledCount + headerCount))
	if table.drain == nil && idleCount > 0 || headerCount+stalledCount+evictedCount > 0 {
		d.log.WithFields(logrus.Fields{
			"event": "waiting_closed", "listener": d.listener, "idle": idleCount, "idle_limit_ms": limits.idle.Milliseconds(),
			"head": headerCount, "head_limit_ms": limits.header.Milliseconds(),
			"stalled": stalledCount, "stalled_limit_ms": limits.progress.Milliseconds(), "evicted": evictedCount,
		}).Info("closed connections whose clients exceeded a timeout")
	}
	d.logRefusals()
}

// evict closes quiet connections while there are too many connections. It returns their
// number.
func (d *connDuty) evict(quiet []*conn) int {
	count := min(d.guard.excess(), len(quiet))
	if count <= 0 {
		return 0
	}
	slices.SortFunc(quiet, func(a, b *conn) int { return a.waitState().since.Compare(b.waitState().since) })
	for _, c := range quiet[:count] {
		c.closeIfQuiet(pressureTimeout)
	}
	d.guard.evicted.Add(int64(count))
	return count
}

// logRefusals logs once for each check that clients were refused.
func (d *connDuty) logRefusals() {
	conns, heads := d.guard.refusedConns.Load(), d.guard.refusedHeads.Load()
	if conns+heads == d.guard.loggedRefusals {
		return
	}
	d.guard.loggedRefusals = conns + heads
	d.log.WithFields(logrus.Fields{
		"event": "clients_refused", "listener": d.listener, "connections": d.guard.open.Load(), "connection_limit": d.guard.limits.Connections,
		"refused_connections": conns, "refused_heads": heads,
	}).Warn("clients were refused since connections or memory for requests are short")
}
