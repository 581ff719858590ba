package bundle

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// largeBundle has the size expected in two years.
func largeBundle() *Bundle {
	doc := &Bundle{Version: "1"}
	for i := range 21 {
		m := core.ModelID(fmt.Sprintf("m%d", i))
		doc.Models = append(doc.Models, Model{ID: m, Versions: []core.WeightVersion{"v1"}, Stable: "v1"})
	}
	for i := range 10000 {
		doc.Upstreams = append(doc.Upstreams, Upstream{
			ID: core.UpstreamID(fmt.Sprintf("e%d", i)), Kind: KindEngine, MaxWindow: 8,
			Agent:         fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
			FailureDomain: core.FailureDomain(fmt.Sprintf("d%d", i%27)), Model: doc.Models[i%21].ID,
		})
	}
	for i := range 3400 {
		doc.Workspaces = append(doc.Workspaces, Workspace{
			ID: core.WorkspaceID(fmt.Sprintf("w%d", i)), Models: []core.ModelID{"m0"},
			Callers: []Caller{{ID: "c", KeySHA256: fmt.Sprintf("%064x", i)}},
		})
	}
	return doc
}

func BenchmarkParse(b *testing.B) {
	body, err := largeBundle().Encode()
	require.NoError(b, err)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		_, err := Parse(body)
		require.NoError(b, err)
	}
}

func BenchmarkDecode(b *testing.B) {
	body, err := largeBundle().Canonical()
	require.NoError(b, err)
	digest := Digest(body)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		_, err := Decode(body, digest)
		require.NoError(b, err)
	}
}
