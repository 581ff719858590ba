package facts_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/facts"
)

// updateBetween returns the update that a process with the first body receives from
// a process with the second.
func updateBetween(first, second string) facts.Update {
	s := facts.NewStore()
	for i, body := range []string{first, second} {
		h := facts.Head{Epoch: 1, BundleDigest: "first"}
		if i == 1 {
			h = facts.Head{Epoch: 2, BundleDigest: "second"}
		}
		s.Merge(facts.Update{Head: &h, Bundle: &facts.Bundle{Digest: h.BundleDigest, Body: []byte(body), Index: index}})
	}
	return s.Snapshot().Delta(facts.StoreDigest{Epoch: 1, BundleDigest: "first"})
}

// Guards against a patch that does not produce its target body.
func TestPatchProducesTarget(t *testing.T) {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "{c}", "d", "a long line that is rare\n", "another long line\n"}), 0, 40)
	rapid.Check(t, func(t *rapid.T) {
		first := strings.Join(lines.Draw(t, "first"), "")
		second := strings.Join(lines.Draw(t, "second"), "")
		u := updateBetween(first, second)
		if u.Patch == nil {
			require.Equal(t, second, string(u.Bundle.Body))
			return
		}
		require.Nil(t, u.Bundle)
		got, ok := u.Patch.Apply([]byte(first))
		require.True(t, ok)
		require.Equal(t, second, string(got))
	})
}

// largeBody returns a bundle body with the given number of upstreams, about 160
// bytes each. The upstream in the middle has the window
// middleWindow.
func largeBody(version string, upstreams int, middleWindow string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version: %s\nupstreams:\n", version)
	for i := range upstreams {
		window := "64"
		if i == upstreams/2 {
			window = middleWindow
		}
		fmt.Fprintf(&b, "  - id: upstream-%05d\n    kind: engine\n    agent: 10.%d.%d.%d:7000\n    failure_domain: domain-%02d\n    model: model-%02d\n    max_window: %s\n",
			i, i>>16, i>>8&255, i&255, i%27, i%21, window)
	}
	return b.String()
}

// Guards against a small change that is sent as a full body, and against a patch
// that reads outside the base.
func TestPatchSize(t *testing.T) {
	u := updateBetween(largeBody("v1", 1000, "64"), largeBody("v2", 1000, "32"))
	require.NotNil(t, u.Patch)
	inserted := 0
	for _, op := range u.Patch.Ops {
		inserted += len(op.Insert)
	}
	require.Less(t, inserted, 500)
	_, ok := u.Patch.Apply([]byte("short"))
	require.False(t, ok)
	_, ok = (&facts.Patch{Ops: []facts.PatchOp{{BaseOffset: -1, Len: 1}}}).Apply([]byte("short"))
	require.False(t, ok)
}

// BenchmarkPatch measures creating and applying the patch for a change to a
// bundle with 10,000 upstreams.
func BenchmarkPatch(b *testing.B) {
	first, second := largeBody("v1", 10_000, "64"), largeBody("v2", 10_000, "32")
	b.SetBytes(int64(len(second)))
	for b.Loop() {
		u := updateBetween(first, second)
		_, ok := u.Patch.Apply([]byte(first))
		require.True(b, ok)
	}
}
