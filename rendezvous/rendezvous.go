// Package rendezvous ranks candidates for a subject by rendezvous hashing, so
// that processes that know the same candidates agree without a message, and few
// subjects move when a candidate comes or leaves.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the rank of a candidate for a subject; the highest comes first.
func Score(candidate, subject string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(candidate) // writing to a digest cannot fail
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(subject)
	return d.Sum64()
}

// WeightedScore is a score by which a candidate comes first for a part of the
// subjects that is proportional to its weight.
func WeightedScore(candidate, subject string, weight float64) float64 {
	u := (float64(Score(candidate, subject)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// Owner returns the candidate that comes first for a subject, or nothing without
// candidates.
func Owner[T ~string](candidates []T, subject string) T {
	var best T
	var bestScore uint64
	for _, c := range candidates {
		if s := Score(string(c), subject); best == "" || s > bestScore {
			best, bestScore = c, s
		}
	}
	return best
}

// Position is the number of candidates that come before one of them for a subject.
func Position[T ~string](candidates []T, own T, subject string) int {
	score := Score(string(own), subject)
	ahead := 0
	for _, c := range candidates {
		if c != own && Score(string(c), subject) > score {
			ahead++
		}
	}
	return ahead
}

// Rank returns the candidates in their order for a subject; name returns what a
// candidate is called.
func Rank[T any](candidates []T, subject string, name func(T) string) []T {
	type scored struct {
		candidate T
		score     uint64
	}
	scores := make([]scored, len(candidates))
	for i, c := range candidates {
		scores[i] = scored{c, Score(name(c), subject)}
	}
	slices.SortStableFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]T, len(scores))
	for i, s := range scores {
		ranked[i] = s.candidate
	}
	return ranked
}

// Top calls take with the first candidates for a subject in their order, n at
// most; i is a candidate's place in the list. It does not sort the others.
func Top[T any](candidates []T, subject string, n int, name func(T) string, take func(place, i int)) {
	type scored struct {
		i     int
		score uint64
	}
	first := make([]scored, 0, n+1)
	for i, c := range candidates {
		s := scored{i, Score(name(c), subject)}
		if len(first) == n && s.score <= first[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, s, func(a, b scored) int {
			if a.score >= b.score {
				return -1 // earlier candidates come first among equals
			}
			return 1
		})
		first = slices.Insert(first, at, s)
		first = first[:min(len(first), n)]
	}
	for place, s := range first {
		take(place, s.i)
	}
}
