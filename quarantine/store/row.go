package store

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// table contains the row with the quarantines of each generation.
	table     = fleet.Table("quarantines")
	keyPrefix = "parts/"
	// maxParts bounds the parts in the row, and maxNameBytes the name of one with its model.
	// Further and larger ones are known to running processes only.
	maxParts     = 32
	maxNameBytes = 256
	// retention is the time after the time of its next trial for which a part is read. A
	// part with which calls come has had its trial then.
	retention = 10 * time.Minute
	// maxWait bounds the time until the trial of a part that is read, since the store's clock
	// may have begun again.
	maxWait = 10 * time.Minute
	// maxRemovedRows is the number of rows of older generations that one write removes, of
	// the 100 entries that a transaction may have.
	maxRemovedRows = 90
)

// entry is a part in quarantine as stored. until is a time on the store's clock.
type entry struct {
	version uint32
	until   time.Duration
}

// content is the stored quarantines as read in one response of the store.
type content struct {
	entries map[quarantine.Part]entry
	// version is that of the row of the response's generation, or 0 if there is none.
	version    uint64
	generation core.Generation
	storeNow   time.Duration
	older      []fleet.Row
	// hasExpired is set when rows contain parts that are no longer read.
	hasExpired bool
}

// rowKey returns the key of the row of a generation of the store's content. A write that
// got no response may take effect after a restore, and then changes the row of an older
// generation.
func rowKey(generation core.Generation) string {
	return keyPrefix + strconv.FormatUint(uint64(generation), 10)
}

// newContent returns the content of a response. Without a row of its generation, that is
// what the rows of older ones contain, which the copy had.
func newContent(page fleet.StoreResponse) content {
	c := content{entries: make(map[quarantine.Part]entry), generation: page.Generation, storeNow: page.Now}
	older := make(map[quarantine.Part]entry)
	for _, row := range page.Rows {
		generation, err := strconv.ParseUint(strings.TrimPrefix(row.Key, keyPrefix), 10, 64)
		switch {
		case row.Key == rowKey(page.Generation):
			c.version = row.Version
			decodeInto(c.entries, row.Value)
		case err == nil && core.Generation(generation) < page.Generation:
			decodeInto(older, row.Value)
			if len(c.older) < maxRemovedRows {
				c.older = append(c.older, fleet.Row{Table: table, Key: row.Key})
			}
		}
	}
	if c.version == 0 {
		c.entries = older
	}
	stored := len(c.entries)
	maps.DeleteFunc(c.entries, func(_ quarantine.Part, e entry) bool { return c.storeNow-e.until > retention })
	c.hasExpired = len(c.entries) < stored
	return c
}

// decodeInto adds the parts of a row's value. A value that cannot be decoded has none.
func decodeInto(entries map[quarantine.Part]entry, value []byte) {
	var row wire.QuarantineRow
	if proto.Unmarshal(value, &row) != nil {
		return
	}
	for _, p := range row.GetParts() {
		part := quarantine.Part{Model: core.ModelID(p.GetModel()), ID: core.PartID(p.GetPart())}
		if p.GetVersion()%2 == 1 && p.GetVersion() > entries[part].version && len(entries) < maxParts {
			entries[part] = entry{version: p.GetVersion(), until: time.Duration(p.GetUntilMs()) * time.Millisecond}
		}
	}
}

// states returns the quarantines with their times on the local clock.
func (c content) states(now time.Time) []quarantine.State {
	out := make([]quarantine.State, 0, len(c.entries))
	for part, e := range c.entries {
		out = append(out, quarantine.State{Part: part, Version: e.version, Until: now.Add(min(e.until-c.storeNow, maxWait))})
	}
	return out
}

// apply applies newer states and reports whether the stored row has to be replaced.
func (c content) apply(now time.Time, states []quarantine.State) bool {
	changed := c.hasExpired && len(states) > 0
	for _, s := range states {
		stored, ok := c.entries[s.Part]
		switch {
		case s.Version <= stored.version:
		case s.Quarantined() && len(s.Model)+len(s.ID) <= maxNameBytes:
			c.entries[s.Part] = entry{version: s.Version, until: c.storeNow + s.Until.Sub(now)}
			changed = true
		case ok:
			delete(c.entries, s.Part)
			changed = true
		}
	}
	c.removeExcess()
	return changed
}

// removeExcess removes the parts above maxParts, those with the fewest failed trials first.
func (c content) removeExcess() {
	for _, part := range c.sortedParts()[min(len(c.entries), maxParts):] {
		delete(c.entries, part)
	}
}

// sortedParts returns the parts, those with the most failed trials first.
func (c content) sortedParts() []quarantine.Part {
	return slices.SortedFunc(maps.Keys(c.entries), func(a, b quarantine.Part) int {
		x, y := c.entries[a], c.entries[b]
		return cmp.Or(cmp.Compare(y.version, x.version), cmp.Compare(y.until, x.until), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Model, b.Model))
	})
}

// transaction returns the transaction that replaces the row that was read, or removes it if
// no part is left, and removes the rows of older generations.
func (c content) transaction() (fleet.Transaction, error) {
	key := rowKey(c.generation)
	tx := fleet.Transaction{Conditions: []fleet.Row{{Table: table, Key: key, Version: c.version}}, Removes: c.older}
	if len(c.entries) == 0 {
		if c.version != 0 {
			tx.Removes = append(tx.Removes, fleet.Row{Table: table, Key: key})
		}
		return tx, nil
	}
	row := new(wire.QuarantineRow)
	for _, part := range c.sortedParts() {
		e := c.entries[part]
		row.Parts = append(row.Parts, &wire.StoredQuarantine{Model: string(part.Model), Part: string(part.ID), Version: e.version, UntilMs: e.until.Milliseconds()})
	}
	value, err := proto.Marshal(row)
	tx.Puts = []fleet.Row{{Table: table, Key: key, Value: value}}
	return tx, err
}
