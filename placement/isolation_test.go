package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// isolate returns the inputs with workspaces a to d, of which some are isolated.
func isolate(in Inputs, isolated ...core.WorkspaceID) Inputs {
	config := *in.Config
	config.Workspaces = nil
	for _, id := range []core.WorkspaceID{"a", "b", "c", "d"} {
		w := catalog.Workspace{ID: id}
		for _, other := range isolated {
			w.Isolated = w.Isolated || other == id
		}
		config.Workspaces = append(config.Workspaces, w)
	}
	in.Config = &config
	return in
}

// saltOf returns the salt of a call of a workspace.
func saltOf(t require.TestingT, pl *Placer, w *catalog.Workspace) string {
	choice, refusal := pl.Choose(t0, Request{Service: engines, Prompt: newPrompt("a"), Workspace: w})
	require.Equal(t, NotRefused, refusal)
	return choice.Salt
}

// Guards against cached parts that are used by a workspace and made by another one, one of
// which is isolated, in any order of configurations, on fronts that have applied them or
// have just started, and for calls that have waited since an older configuration.
func TestPartsDoNotCrossIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		makers := make(map[string]map[core.WorkspaceID]bool)
		front := newPlacer(newInputs(1))
		previous := isolate(newInputs(1)).Config
		for range rapid.IntRange(1, 8).Draw(t, "configurations") {
			isolated := rapid.SliceOfNDistinct(rapid.SampledFrom([]core.WorkspaceID{"a", "b", "c", "d"}), 0, 4, rapid.ID).Draw(t, "isolated")
			in := isolate(newInputs(1), isolated...)
			if rapid.Bool().Draw(t, "restart") {
				front = New(options("front-0"), cacheindex.New())
			}
			front.SetInputs(t0, in)
			for i := range in.Config.Workspaces {
				user, call := &in.Config.Workspaces[i], &in.Config.Workspaces[i]
				if rapid.Bool().Draw(t, "call of the previous configuration") {
					call = &previous.Workspaces[i]
				}
				salt := saltOf(t, front, call)
				for maker := range makers[salt] {
					crosses := maker != user.ID && (user.Isolated || in.Config.Workspaces[maker[0]-'a'].Isolated)
					require.False(t, crosses, "%s uses parts of %s under %s", user.ID, maker, salt)
				}
				if makers[salt] == nil {
					makers[salt] = make(map[core.WorkspaceID]bool)
				}
				makers[salt][user.ID] = true
			}
			previous = in.Config
		}
	})
}

// Guards against parts that are read again although no workspace is isolated or the set of
// isolated workspaces has not changed.
func TestSaltChangesOnlyWithIsolation(t *testing.T) {
	pl := newPlacer(newInputs(1))
	open := &catalog.Workspace{ID: "b"}
	require.Equal(t, Salt(model, 1, commonScope), saltOf(t, pl, open))
	pl.SetInputs(t0, isolate(newInputs(1), "a", "c"))
	salt := saltOf(t, pl, open)
	require.NotEqual(t, Salt(model, 1, commonScope), salt)
	reordered := isolate(newInputs(1), "c", "a")
	reordered.Config.Workspaces[0], reordered.Config.Workspaces[2] = reordered.Config.Workspaces[2], reordered.Config.Workspaces[0]
	other := newPlacer(reordered)
	require.Equal(t, salt, saltOf(t, other, open), "another front")
	pl.SetInputs(t0, isolate(newInputs(1)))
	require.Equal(t, Salt(model, 1, commonScope), saltOf(t, pl, open))
}

// Guards against parts of former scopes that fill the stores, against parts that are freed
// although a front with an older configuration may still fetch them, and against a front
// that was suspended, or has an older configuration for a moment, and frees those of the
// present scope.
func TestPartsOfFormerScopesAreFreed(t *testing.T) {
	later := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	pl := newPlacer(isolate(newInputs(1), "a"))
	b := &catalog.Workspace{ID: "b"}
	former, ofIsolated := saltOf(t, pl, b), saltOf(t, pl, &catalog.Workspace{ID: "a"})
	require.False(t, pl.Obsolete(later(0), former))
	pl.SetInputs(later(1), isolate(newInputs(1), "c"))
	present := saltOf(t, pl, b)
	salts := []string{former, ofIsolated}
	for _, salt := range salts {
		require.False(t, pl.Obsolete(later(2), salt))
		require.False(t, pl.Obsolete(later(20), salt))
		require.True(t, pl.Obsolete(later(40), salt))
	}
	require.False(t, pl.Obsolete(later(40), present))
	require.False(t, pl.Obsolete(later(40), Salt(model, 1, "of another writer")))
	pl.RecordSuspension(later(40))
	require.False(t, pl.Obsolete(later(41), former), "after a suspension")
	pl.SetInputs(later(42), isolate(newInputs(1), "c"))
	require.True(t, pl.Obsolete(later(80), former))
	pl.SetInputs(later(80), isolate(newInputs(1), "a"))
	require.False(t, pl.Obsolete(later(200), former), "the set of isolated workspaces has returned")
	require.False(t, pl.Obsolete(later(200), present))
	require.True(t, pl.Obsolete(later(240), present))
}
