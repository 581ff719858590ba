package facts_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
)

// TestMain fixes the seed of the property tests so that each run checks the same
// cases.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var index = &bundle.Index{}

// genHeadUpdate generates an update with a head. Equal epochs have equal heads, as the
// table's conditional transaction guarantees.
func genHeadUpdate(t *rapid.T) facts.Update {
	e := core.Epoch(rapid.Uint64Range(1, 6).Draw(t, "epoch"))
	h := facts.Head{Epoch: e, BundleDigest: fmt.Sprint("bundle", e/2), ClearedAt: map[facts.Subject]core.Epoch{}}
	if e >= 3 {
		h.ClearedAt[facts.Subject{Kind: facts.SubjectDomain, Name: "d0"}] = 3
	}
	if e >= 5 {
		h.ClearedAt[facts.Subject{Kind: facts.SubjectUpstream, Name: "d1"}] = 5
	}
	return facts.Update{Head: &h, Bundle: &facts.Bundle{Digest: h.BundleDigest, Index: index}}
}

func genRestriction(t *rapid.T) facts.Restriction {
	return facts.Restriction{
		Subject: facts.Subject{
			Kind: facts.SubjectKind(rapid.IntRange(1, 2).Draw(t, "kind")),
			Name: rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "name"),
		},
		Stamp:    core.Epoch(rapid.Uint64Range(0, 6).Draw(t, "stamp")),
		Origin:   core.NodeID(rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "origin")),
		RaisedMS: rapid.Int64Range(0, 2).Draw(t, "raised"),
	}
}

func genUpdate(t *rapid.T) facts.Update {
	u := facts.Update{Restrictions: rapid.SliceOfN(rapid.Custom(genRestriction), 0, 3).Draw(t, "restrictions")}
	if rapid.Bool().Draw(t, "with head") {
		h := genHeadUpdate(t)
		u.Head, u.Bundle = h.Head, h.Bundle
	}
	if rapid.Bool().Draw(t, "written") {
		u.PersistedRestrictions = u.Restrictions
	}
	return u
}

func mergeAll(updates ...facts.Update) *facts.Snapshot {
	s := facts.NewStore()
	for _, u := range updates {
		s.Merge(u)
	}
	return s.Snapshot()
}

// Guards against processes whose views differ after they received the same facts
// in different sequences, in different groups or more than once.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(genUpdate), 1, 6).Draw(t, "updates")
		want := mergeAll(updates...)
		shuffled := rapid.Permutation(updates).Draw(t, "order")
		require.Equal(t, want, mergeAll(shuffled...), "commutative")
		require.Equal(t, want, mergeAll(append(shuffled, updates...)...), "idempotent")

		split := rapid.IntRange(0, len(updates)).Draw(t, "split")
		left, right := mergeAll(updates[:split]...), mergeAll(updates[split:]...)
		joined := facts.NewStore()
		joined.Merge(left.Delta(facts.StoreDigest{}))
		joined.Merge(right.Delta(facts.StoreDigest{}))
		require.Equal(t, want.View, joined.Snapshot().View, "associative through deltas")
		require.Equal(t, want.Digest, joined.Snapshot().Digest)
	})
}

// Guards against an epoch that decreases, and against a restriction that is
// lifted without a permission with a higher epoch.
func TestOnlyHigherEpochLiftsRestriction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := facts.NewStore()
		before := s.Snapshot()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			u := genUpdate(t)
			result := s.Merge(u)
			after := s.Snapshot()
			require.GreaterOrEqual(t, after.Digest.Epoch, before.Digest.Epoch)
			require.Equal(t, result.Changed, after.Digest != before.Digest)
			for subject, r := range before.View.Restrictions {
				if after.View.Allowed(subject) {
					require.Greater(t, after.View.Head.ClearedAt[subject], r.Stamp)
					require.Greater(t, after.Digest.Epoch, before.Digest.Epoch)
				}
			}
			before = after
		}
	})
}

// Guards against two processes that still have different facts after an exchange.
func TestDeltaMakesStoresEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stores [2]*facts.Store
		for i := range stores {
			stores[i] = facts.NewStore()
			for _, u := range rapid.SliceOfN(rapid.Custom(genUpdate), 0, 4).Draw(t, "updates") {
				stores[i].Merge(u)
			}
		}
		a, b := stores[0].Snapshot(), stores[1].Snapshot()
		equal := a.Digest == b.Digest
		require.Equal(t, equal, !a.MayLackFacts(b.Digest) && !b.MayLackFacts(a.Digest), "every difference is detected")
		stores[0].Merge(b.Delta(a.Digest))
		stores[1].Merge(a.Delta(b.Digest))
		require.Equal(t, stores[0].Snapshot().Digest, stores[1].Snapshot().Digest)
	})
}

// Guards against a store that accepts a head without its bundle, loses track of
// restrictions that are not in the table, or retains ClearedAt entries forever.
func TestStoreCases(t *testing.T) {
	subject := facts.Subject{Kind: facts.SubjectUpstream, Name: "u1"}
	head := func(epoch core.Epoch, digest string) *facts.Head {
		return &facts.Head{Epoch: epoch, BundleDigest: digest}
	}
	t.Run("a head without its bundle is rejected", func(t *testing.T) {
		s := facts.NewStore()
		require.Equal(t, facts.MergeResult{MissingBundle: true}, s.Merge(facts.Update{Head: head(1, "a")}))
		require.False(t, s.Snapshot().View.HasBundle())
	})
	t.Run("a head with the current bundle needs no body", func(t *testing.T) {
		s := facts.NewStore()
		s.Merge(facts.Update{Head: head(1, "a"), Bundle: &facts.Bundle{Digest: "a", Index: index}})
		require.Equal(t, facts.MergeResult{Changed: true}, s.Merge(facts.Update{Head: head(2, "a")}))
	})
	t.Run("unpersisted restrictions are listed oldest first until they are in the table", func(t *testing.T) {
		s := facts.NewStore()
		late := facts.Restriction{Subject: subject, RaisedMS: 2}
		early := facts.Restriction{Subject: facts.Subject{Kind: facts.SubjectUpstream, Name: "u2"}, RaisedMS: 1}
		s.Merge(facts.Update{Restrictions: []facts.Restriction{late, early}})
		require.Equal(t, []facts.Restriction{early, late}, s.Snapshot().UnpersistedRestrictions)
		s.Merge(facts.Update{PersistedRestrictions: []facts.Restriction{early}})
		require.Equal(t, []facts.Restriction{late}, s.Snapshot().UnpersistedRestrictions)
	})
	t.Run("expired entries of cleared subjects are removed from the head", func(t *testing.T) {
		h := head(10, "a").Next()
		h.Clear(subject)
		h.Epoch += facts.ClearedRetention
		require.Contains(t, h.ClearedAt, subject)
		require.NotContains(t, h.Next().ClearedAt, subject)
	})
}
