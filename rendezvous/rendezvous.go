// Package rendezvous ranks candidates for a subject by rendezvous hashing. A
// subject is any key that is assigned to candidates, such as a service id.
// Processes with the same list of candidates compute the same ranking without
// communication, and few subjects are reassigned when a candidate is added or
// removed.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a candidate for a subject. Candidates are ranked by
// descending score.
func Score(candidate, subject string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(candidate) // writing to a digest cannot fail
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(subject)
	return d.Sum64()
}

// WeightedScore returns a score with which a candidate ranks first for a share of
// the subjects that is proportional to its weight.
func WeightedScore(candidate, subject string, weight float64) float64 {
	u := (float64(Score(candidate, subject)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// Owner returns the highest-ranked candidate for a subject, or an empty string if
// there are no candidates.
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

// Position returns the zero-based position of the candidate self in the ranking
// for a subject.
func Position[T ~string](candidates []T, self T, subject string) int {
	score := Score(string(self), subject)
	position := 0
	for _, c := range candidates {
		if c != self && Score(string(c), subject) > score {
			position++
		}
	}
	return position
}

// Ranked returns the candidates sorted by their position for a subject. name(c) is
// the string that is hashed for the candidate c.
func Ranked[T any](candidates []T, subject string, name func(T) string) []T {
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

// VisitTop calls visit for the n highest-ranked candidates for a subject, highest
// first. position is the zero-based position of a candidate and index is its index
// in candidates. The remaining candidates are not sorted. name(c) is the string
// that is hashed for the candidate c.
func VisitTop[T any](candidates []T, subject string, n int, name func(T) string, visit func(position, index int)) {
	type scored struct {
		i     int
		score uint64
	}
	top := make([]scored, 0, n+1)
	for i, c := range candidates {
		s := scored{i, Score(name(c), subject)}
		if len(top) == n && s.score <= top[n-1].score {
			continue
		}
		position, _ := slices.BinarySearchFunc(top, s, func(a, b scored) int {
			if a.score >= b.score {
				return -1 // of equal scores, the earlier candidate ranks higher
			}
			return 1
		})
		top = slices.Insert(top, position, s)
		top = top[:min(len(top), n)]
	}
	for position, s := range top {
		visit(position, s.i)
	}
}
