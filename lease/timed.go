package lease

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// TimedRow is the content of a lease's row whose end is given on the store's
// steady clock.
type TimedRow struct {
	Holder      core.NodeID
	Incarnation core.Incarnation
	Fence       core.Fence
	Until       time.Duration
}

// TimedConfig sets the times of a lease on the store's clock.
type TimedConfig struct {
	// Length is how long the lease holds after a renewal.
	Length time.Duration
	// Margin is how much earlier the holder stops.
	Margin time.Duration
	// Quiet is how long nobody else takes the lease after its end. It keeps
	// orders of two holders apart.
	Quiet time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
}

// Timed is one process's knowledge of a lease on the store's clock. A free
// lease is taken at once, since its end can be compared with the time that the
// store states in each answer. The holder measures its own time with a clock
// that also counts while the VM is suspended. It is owned by one duty.
type Timed struct {
	cfg         TimedConfig
	self        core.NodeID
	incarnation core.Incarnation
	row         TimedRow
	version     uint64
	storeNow    time.Duration
	askedAt     time.Duration
	until       time.Duration
	renewAt     time.Duration
}

// NewTimed returns the state of a process that has not read the row.
func NewTimed(cfg TimedConfig, self core.NodeID, incarnation core.Incarnation) *Timed {
	return &Timed{cfg: cfg, self: self, incarnation: incarnation}
}

// Read notes the row's content, the time that the store stated and the own time
// before the row was asked for. Version 0 means that there is no row.
func (t *Timed) Read(askedAt time.Duration, row TimedRow, version uint64, storeNow time.Duration) {
	t.row, t.version, t.storeNow, t.askedAt = row, version, storeNow, askedAt
	if row.Holder != t.self || row.Incarnation != t.incarnation {
		t.until = 0
	}
}

// Proposal returns the row to write and the version that it replaces, or false
// when another process has the lease. A takeover raises the fence.
func (t *Timed) Proposal() (TimedRow, uint64, bool) {
	own := t.row.Holder == t.self
	free := t.version == 0 || own || t.storeNow >= t.row.Until+t.cfg.Quiet
	if !free {
		return TimedRow{}, 0, false
	}
	next := TimedRow{Holder: t.self, Incarnation: t.incarnation, Fence: t.row.Fence, Until: t.storeNow + t.cfg.Length}
	if !own || t.row.Incarnation != t.incarnation {
		next.Fence++
	}
	return next, t.version, true
}

// FreeIn is how long after the row was asked for nobody may take the lease if
// its holder does not renew it any more.
func (t *Timed) FreeIn() time.Duration { return max(t.row.Until+t.cfg.Quiet-t.storeNow, 0) }

// Wrote notes that the proposal took effect.
func (t *Timed) Wrote(row TimedRow) {
	t.row = row
	t.until = t.askedAt + t.cfg.Length - t.cfg.Margin
	t.renewAt = t.askedAt + t.cfg.Renew
}

// Due reports whether the lease has to be read, to take or to renew it.
func (t *Timed) Due(now time.Duration) bool { return t.until == 0 || now >= t.renewAt }

// Held returns the fence while the lease is held at the given own time.
func (t *Timed) Held(now time.Duration) (core.Fence, bool) {
	if t.until == 0 || now >= t.until {
		return 0, false
	}
	return t.row.Fence, true
}

// Until returns the own time at which the holder has to stop.
func (t *Timed) Until() time.Duration { return t.until }
