package route

import (
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

// build places the upstreams in the given slots on the ring.
func (r *hashRing) build(slots []int32, id func(int32) core.UpstreamID) {
	r.points = make([]point, 0, len(slots)*pointsPerMember)
	for _, slot := range slots {
		h := xxhash.Sum64String(string(id(slot)))
		for range pointsPerMember {
			h = mix(h)
			r.points = append(r.points, point{h, slot})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return int(a.slot - b.slot)
	})
	r.buildIndex()
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
