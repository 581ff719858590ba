// Package membership combines the platform's member list, which lags, with the
// replies to calls and gossip exchanges into one state for each incarnation of a
// process. Observations take precedence over the list. A member is suspected
// before it is considered failed, so that one lost reply has little effect.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// State is the state of one incarnation of a process.
type State uint8

// States of a member.
const (
	Live    State = iota + 1
	Suspect       // receives no new calls, its runs continue
	Failed        // has not replied for SuspicionTimeout after the suspicion began
	Leaving       // receives no new calls and terminates when its runs have finished
)

// String returns the name of the state as used in logs.
func (s State) String() string {
	return [...]string{"unset", "live", "suspect", "failed", "leaving"}[s]
}

// Member is one process.
type Member struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	// Role is empty until the member appears in the list.
	Role    string
	Domain  core.FailureDomain
	Address string
	State   State
}

// Observation records that a member replied, or that a reply is missing. Node may
// be empty if Address is set. Incarnation 0 denotes the current incarnation.
type Observation struct {
	Node        core.NodeID
	Address     string
	Domain      core.FailureDomain
	Incarnation core.Incarnation
	// Replied is false if a call or a gossip exchange received no reply.
	Replied bool
	// Leaving is set if the reply announces the shutdown of the member.
	Leaving bool
}

// Config contains the thresholds for the transitions between states.
type Config struct {
	// MissThreshold is the number of consecutive missed replies after which a
	// member is suspected.
	MissThreshold int
	// SuspicionTimeout is the time after which a suspected member is considered
	// failed.
	SuspicionTimeout time.Duration
	// ObservationLifetime is the time for which a reply takes precedence over the
	// absence of the member from the list.
	ObservationLifetime time.Duration
	// FailedRetention is the time after which a failed member that is absent from
	// the list is removed.
	FailedRetention time.Duration
}

// DefaultConfig returns values for a one-way latency of a few milliseconds and a
// list that lags by seconds.
func DefaultConfig() Config {
	return Config{MissThreshold: 2, SuspicionTimeout: 4 * time.Second, ObservationLifetime: 10 * time.Second, FailedRetention: time.Minute}
}

type record struct {
	member        Member
	leaving       bool
	listed        bool
	missedReplies int
	lastReplyAt   time.Time
	// suspectAt is zero while the member is not suspected.
	suspectAt time.Time
	failedAt  time.Time
}

// Table contains all members. It is owned by one duty.
type Table struct {
	cfg       Config
	records   map[core.NodeID]*record
	byAddress map[string]core.NodeID
	changed   bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, records: make(map[core.NodeID]*record), byAddress: make(map[string]core.NodeID)}
}

// ApplyList merges one copy of the platform's list. The state of each row is Live
// or Leaving. Each row sets the role of its member and marks the member as listed.
// A row with a newer incarnation replaces the record. The state of a row with an
// older incarnation is ignored. A row with the same incarnation clears neither a
// suspicion nor the state Leaving.
func (t *Table) ApplyList(now time.Time, rows []Member) {
	for _, r := range t.records {
		r.listed = false
	}
	for _, row := range rows {
		r := t.upsert(row.Node, row.Incarnation, row.Address, row.Domain)
		r.listed = true
		if r.member.Role != row.Role {
			r.member.Role = row.Role
			t.changed = true
		}
		if row.Incarnation == r.member.Incarnation && row.State == Leaving {
			r.leaving = true
		}
	}
	for _, r := range t.records {
		if !r.listed && r.suspectAt.IsZero() && now.Sub(r.lastReplyAt) >= t.cfg.ObservationLifetime {
			r.suspectAt = now
		}
	}
	t.Tick(now)
}

// upsert returns the record of a node. It replaces the record if the incarnation
// is newer.
func (t *Table) upsert(node core.NodeID, incarnation core.Incarnation, address string, domain core.FailureDomain) *record {
	r := t.records[node]
	if r != nil && incarnation <= r.member.Incarnation {
		return r
	}
	role := ""
	if r != nil {
		role = r.member.Role
		delete(t.byAddress, r.member.Address)
	}
	r = &record{member: Member{
		Node: node, Incarnation: incarnation, Role: role, Domain: domain, Address: address, State: Live,
	}}
	t.records[node] = r
	t.byAddress[address] = node
	t.changed = true
	return r
}

// Observe merges one observation. A reply of a newer incarnation with an address
// replaces the record. Other observations are ignored unless they concern the
// recorded incarnation.
func (t *Table) Observe(now time.Time, o Observation) {
	if o.Node == "" {
		o.Node = t.byAddress[o.Address]
	}
	r := t.records[o.Node]
	if o.Replied && o.Node != "" && o.Address != "" && o.Incarnation > 0 {
		r = t.upsert(o.Node, o.Incarnation, o.Address, o.Domain)
	}
	if r == nil || (o.Incarnation != 0 && o.Incarnation != r.member.Incarnation) {
		return
	}
	if o.Replied {
		r.lastReplyAt = now
		r.missedReplies = 0
		r.suspectAt, r.failedAt = time.Time{}, time.Time{}
		r.leaving = r.leaving || o.Leaving
	} else {
		r.missedReplies++
		if r.missedReplies >= t.cfg.MissThreshold && r.suspectAt.IsZero() {
			r.suspectAt = now
		}
	}
	t.updateState(now, r)
}

// Tick applies the state transitions that depend only on time. It removes failed
// members that are absent from the list after FailedRetention.
func (t *Table) Tick(now time.Time) {
	for node, r := range t.records {
		t.updateState(now, r)
		if !r.listed && !r.failedAt.IsZero() && now.Sub(r.failedAt) >= t.cfg.FailedRetention {
			delete(t.records, node)
			delete(t.byAddress, r.member.Address)
			t.changed = true
		}
	}
}

func (t *Table) updateState(now time.Time, r *record) {
	state := Live
	switch {
	case !r.suspectAt.IsZero() && now.Sub(r.suspectAt) >= t.cfg.SuspicionTimeout:
		state = Failed
		if r.failedAt.IsZero() {
			r.failedAt = now
		}
	case r.leaving:
		state = Leaving
	case !r.suspectAt.IsZero():
		state = Suspect
	}
	if state != r.member.State {
		r.member.State = state
		t.changed = true
	}
}

// Changed reports whether the table has changed since the last snapshot.
func (t *Table) Changed() bool { return t.changed }

// Snapshot returns an immutable copy of the table, sorted by node.
func (t *Table) Snapshot() *Members {
	t.changed = false
	m := &Members{byNode: make(map[core.NodeID]int, len(t.records)), byAddress: make(map[string]int, len(t.records))}
	for _, node := range slices.SortedFunc(maps.Keys(t.records), cmp.Compare) {
		member := t.records[node].member
		m.byNode[node] = len(m.All)
		m.byAddress[member.Address] = len(m.All)
		m.All = append(m.All, member)
	}
	return m
}

// Members is an immutable snapshot of the table.
type Members struct {
	All       []Member
	byNode    map[core.NodeID]int
	byAddress map[string]int
}

// ByNode returns the member with a node id.
func (m *Members) ByNode(id core.NodeID) (Member, bool) {
	i, ok := m.byNode[id]
	if !ok {
		return Member{}, false
	}
	return m.All[i], true
}

// ByAddress returns the member that listens on an address.
func (m *Members) ByAddress(address string) (Member, bool) {
	i, ok := m.byAddress[address]
	if !ok {
		return Member{}, false
	}
	return m.All[i], true
}
