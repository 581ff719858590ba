package route

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
)

// pointsPerMember spreads each upstream over the hash ring.
const pointsPerMember = 32

// point is a place on the hash ring that belongs to the upstream in a slot.
type point struct {
	hash uint64
	slot int32
}

// hashRing is a sorted consistent-hash ring. The index gives the first point
// for each value of the hash's top bits, so that a look-up does not depend on
// the number of points.
type hashRing struct {
	points []point
	index  []int32
	shift  uint
}

// change takes the points of some upstreams off the ring and places others. A
// change of few upstreams costs one pass over the points and no sort of them.
func (r *hashRing) change(dropped func(slot int32) bool, added []int32, id func(int32) core.UpstreamID) {
	fresh := make([]point, 0, len(added)*pointsPerMember)
	for _, slot := range added {
		h := xxhash.Sum64String(string(id(slot)))
		for range pointsPerMember {
			h = mix(h)
			fresh = append(fresh, point{h, slot})
		}
	}
	slices.SortFunc(fresh, comparePoints)
	merged := make([]point, 0, len(r.points)+len(fresh))
	for _, p := range r.points {
		if dropped(p.slot) {
			continue
		}
		for len(fresh) > 0 && comparePoints(fresh[0], p) < 0 {
			merged = append(merged, fresh[0])
			fresh = fresh[1:]
		}
		merged = append(merged, p)
	}
	merged = append(merged, fresh...)
	r.points = merged
	r.buildIndex()
}

func comparePoints(a, b point) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.slot, b.slot)
}

func (r *hashRing) buildIndex() {
	width := uint(bits.Len(uint(max(len(r.points), 1))))
	r.shift = 64 - width
	r.index = make([]int32, 1<<width)
	next := int32(0)
	for top := range r.index {
		for int(next) < len(r.points) && r.points[next].hash>>r.shift < uint64(top) {
			next++
		}
		r.index[top] = next
	}
}

// find returns the position of the first point at or after the hash; it may be
// the length of the ring, which stands for the first point.
func (r *hashRing) find(hash uint64) int {
	i := int(r.index[hash>>r.shift])
	for i < len(r.points) && r.points[i].hash < hash {
		i++
	}
	return i
}

// mix is a bijective mixing step (SplitMix64), so that the points of one
// upstream never collide.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
