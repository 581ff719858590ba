package fleet

import (
	"cmp"

	"waxwingtide.example/waxwingtide/core"
)

// Position is a place in the history of the store's content. Versions are assigned
// again after the content was restored from a copy, so that the generation precedes
// the version in comparisons.
type Position struct {
	Generation core.Generation
	Version    uint64
}

// Compare returns a negative number if p is before other, a positive number if it is
// after other, and 0 if they are equal.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Generation, other.Generation), cmp.Compare(p.Version, other.Version))
}

// position returns the position of a view.
func (v *View) position() Position { return Position{v.Generation, uint64(v.Epoch)} }

// advance sets the position of a view if it is newer.
func (v *View) advance(p Position) {
	if p.Compare(v.position()) > 0 {
		v.Generation, v.Epoch = p.Generation, core.Epoch(p.Version)
	}
}
