package sharing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/placement/links"
	"waxwingtide.example/waxwingtide/wire"
)

// Guards against sums that contain what the receiver has sent, a repeated message twice, or a
// front that is silent, and against messages of older versions that count as no observation.
func TestLinkDelaysAreSummedBySender(t *testing.T) {
	b := make(linkBoard)
	delays := []links.Delays{{Link: 7, Transfers: 0.25, DelayMs: 80}}
	for _, at := range []time.Duration{0, 200 * time.Millisecond} {
		b.add(boardNow.Add(at), "a", delays)
		b.add(boardNow.Add(at), "b", delays)
		b.add(boardNow.Add(at), globalCollectorAlias, []links.Delays{{Link: 7, Transfers: 1.5, DelayMs: 5}})
	}
	b.add(boardNow.Add(300*time.Millisecond), "a", decodeLinkDelays((&wire.ShareRequest{}).GetLinks()))
	later := boardNow.Add(400 * time.Millisecond)
	others := decodeLinkDelays(encodeLinkDelays(b.sumWithout(later, globalCollectorAlias)))
	require.Equal(t, []links.Delays{{Link: 7, Transfers: 0.5, DelayMs: 160}}, others)
	others = decodeLinkDelays(encodeLinkDelays(b.sumWithout(later, "a")))
	require.Equal(t, []links.Delays{{Link: 7, Transfers: 1.75, DelayMs: 85}}, others)
	require.Empty(t, b.sumWithout(boardNow.Add(2*time.Second), "c"), "silence")
	require.Empty(t, b, "silent senders are removed")
}

// Guards against reports whose size grows with the number of links, and against damaged ones.
func TestLinkDelaysAreBounded(t *testing.T) {
	message := &wire.ShareRequest{Links: encodeLinkDelays(links.Reported(manyDelays(500)))}
	require.Less(t, proto.Size(message), 200)
	require.InDelta(t, 5, decodeLinkDelays(message.GetLinks())[0].Transfers, 1e-9, "the most used ones are kept")
	require.Empty(t, decodeLinkDelays(&wire.LinkDelays{Links: []uint32{1, 2}}))
	require.Empty(t, decodeLinkDelays(encodeLinkDelays([]links.Delays{{Link: 1, Transfers: -1}})))
}

// manyDelays returns observations of n links.
func manyDelays(n int) (out []links.Delays) {
	for i := range n {
		out = append(out, links.Delays{Link: links.ID(i), Transfers: float64(i+1) / 100, DelayMs: 10_000})
	}
	return out
}
