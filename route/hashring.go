package route

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
)

// pointsPerUpstream is the number of virtual nodes of each upstream on the hash
// ring.
const pointsPerUpstream = 32

// point is a position on the hash ring that belongs to the upstream in a slot.
type point struct {
	hash uint64
	slot int32
}

// hashRing is a consistent-hash ring with sorted points. firstPoints maps each
// value of the top bits of a hash to the index of the first point whose top bits
// have this value or a higher one, so that the expected cost of a lookup does not
// depend on the number of points.
type hashRing struct {
	points      []point
	firstPoints []int32
	shift       uint
}

// update deletes the points of removed slots and inserts those of added slots. It
// merges the sorted new points into the existing ones in one pass, without
// sorting all points again.
func (r *hashRing) update(isRemoved func(slot int32) bool, addedSlots []int32, upstreamID func(int32) core.UpstreamID) {
	newPoints := make([]point, 0, len(addedSlots)*pointsPerUpstream)
	for _, slot := range addedSlots {
		h := xxhash.Sum64String(string(upstreamID(slot)))
		for range pointsPerUpstream {
			h = mix(h)
			newPoints = append(newPoints, point{h, slot})
		}
	}
	slices.SortFunc(newPoints, comparePoints)
	merged := make([]point, 0, len(r.points)+len(newPoints))
	for _, p := range r.points {
		if isRemoved(p.slot) {
			continue
		}
		for len(newPoints) > 0 && comparePoints(newPoints[0], p) < 0 {
			merged = append(merged, newPoints[0])
			newPoints = newPoints[1:]
		}
		merged = append(merged, p)
	}
	merged = append(merged, newPoints...)
	r.points = merged
	r.buildFirstPoints()
}

func comparePoints(a, b point) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.slot, b.slot)
}

func (r *hashRing) buildFirstPoints() {
	width := uint(bits.Len(uint(max(len(r.points), 1))))
	r.shift = 64 - width
	r.firstPoints = make([]int32, 1<<width)
	next := int32(0)
	for topBits := range r.firstPoints {
		for int(next) < len(r.points) && r.points[next].hash>>r.shift < uint64(topBits) {
			next++
		}
		r.firstPoints[topBits] = next
	}
}

// find returns the index of the first point at or after the hash. The result may
// be len(points), which wraps around to the first point.
func (r *hashRing) find(hash uint64) int {
	i := int(r.firstPoints[hash>>r.shift])
	for i < len(r.points) && r.points[i].hash < hash {
		i++
	}
	return i
}

// mix is one step of SplitMix64. It is bijective, so the points of one upstream,
// each of which is the mix of the previous one, are distinct unless they are in a
// cycle shorter than pointsPerUpstream.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
