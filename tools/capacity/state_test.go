// The benchmarks of this file measure the state and the messages of each role
// at sizes up to the target, as slopes for docs/CAPACITY.md.
package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/dispatch"
	"waxwingtide.example/waxwingtide/gossip"
	"waxwingtide.example/waxwingtide/kvcache"
	"waxwingtide.example/waxwingtide/membership"
	"waxwingtide.example/waxwingtide/route"
	"waxwingtide.example/waxwingtide/wire"
)

var now = time.Unix(1_800_000_000, 0)

const (
	domains = 27
	models  = 21
	// processes is the number of entries and agents at the target size.
	processes = 1_800 + 10_000
)

// reportHeap reports the memory that build's result takes, in kB and in bytes
// for each of n units.
func reportHeap[T any](b *testing.B, n int, build func() T) {
	total := 0.0
	for range b.N {
		before := heapInUse()
		kept := build()
		total += float64(heapInUse()) - float64(before)
		runtime.KeepAlive(kept)
	}
	b.ReportMetric(total/float64(b.N)/1000, "kB")
	b.ReportMetric(total/float64(b.N)/float64(n), "B/unit")
}

// heapInUse collects twice, because the first collection keeps what is in pools.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func upstreamID(i int) core.UpstreamID { return core.UpstreamID(fmt.Sprintf("upstream-%05d", i)) }

func members(n int) []route.UpstreamConfig {
	list := make([]route.UpstreamConfig, n)
	for i := range list {
		list[i] = route.UpstreamConfig{ID: upstreamID(i), Model: core.ModelID(fmt.Sprint("m", i%models)), Version: "v1"}
	}
	return list
}

func routeTable(n int) *route.Table {
	t := route.New(route.DefaultOptions(16<<10), rand.New(rand.NewPCG(1, 1)))
	t.SetUpstreams(members(n))
	for i := range n {
		t.RecordState(now, route.State{Upstream: upstreamID(i), Incarnation: 1, Credits: 8, CreditExpiry: now.Add(time.Hour), Window: 8})
	}
	return t
}

func BenchmarkRouteTableHeap(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { reportHeap(b, n, func() *route.Table { return routeTable(n) }) })
	}
}

// BenchmarkRouteMembersChanged measures a change that moves one upstream to
// another version.
func BenchmarkRouteMembersChanged(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, list := routeTable(n), members(n)
			for i := 0; b.Loop(); i++ {
				list[n/2].Version = core.WeightVersion(fmt.Sprint("v", 1+i%2))
				t.SetUpstreams(list)
			}
		})
	}
}

func bundleOfTarget() *bundle.Bundle {
	doc := &bundle.Bundle{Version: "1"}
	for i := range models {
		id := core.ModelID(fmt.Sprint("m", i))
		doc.Models = append(doc.Models, bundle.Model{ID: id, Versions: []core.WeightVersion{"v1"}, Stable: "v1"})
	}
	for i := range 10_000 {
		doc.Upstreams = append(doc.Upstreams, bundle.Upstream{
			ID: upstreamID(i), Kind: bundle.KindEngine, MaxWindow: 8,
			Agent:         fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
			FailureDomain: core.FailureDomain(fmt.Sprint("d", i%domains)), Model: doc.Models[i%models].ID,
		})
	}
	for i := range 3_400 {
		doc.Workspaces = append(doc.Workspaces, bundle.Workspace{
			ID: core.WorkspaceID(fmt.Sprint("w", i)), Models: []core.ModelID{"m0"},
			Callers: []bundle.Caller{{ID: "c", KeySHA256: fmt.Sprintf("%064x", i)}},
		})
	}
	return doc
}

// BenchmarkBundleHeap measures a decoded bundle of the target size with its
// index, without the body.
func BenchmarkBundleHeap(b *testing.B) {
	body, err := bundleOfTarget().Canonical()
	require.NoError(b, err)
	digest := bundle.Digest(body)
	reportHeap(b, 10_000, func() *bundle.Index {
		doc, err := bundle.Decode(body, digest)
		require.NoError(b, err)
		return bundle.NewIndex(doc)
	})
	b.ReportMetric(float64(len(body)), "body-B")
}

// BenchmarkStoredBundle compares the strict YAML reader with the JSON reader on
// a stored bundle of the target size.
func BenchmarkStoredBundle(b *testing.B) {
	body, err := bundleOfTarget().Canonical()
	require.NoError(b, err)
	digest := bundle.Digest(body)
	b.Run("Parse", func(b *testing.B) {
		for b.Loop() {
			_, err := bundle.Parse(body)
			require.NoError(b, err)
		}
	})
	b.Run("Decode", func(b *testing.B) {
		for b.Loop() {
			_, err := bundle.Decode(body, digest)
			require.NoError(b, err)
		}
	})
}

// watchState is a published state with hints of recent prompts.
func watchState(keys int) *wire.UpstreamState {
	state := &wire.UpstreamState{
		Sender:   &wire.Sender{Node: "agent-upstream-01234", Incarnation: 1_800_000_000_000_000_000, Epoch: 1_000_000},
		Upstream: "upstream-01234", Credits: 6, CreditMs: 2000, UrgentCredits: 2, Window: 48, Running: 5, Queued: 1,
		QueueDelayMs: 120, CacheEpoch: 3, PrefillBytesPerS: 400_000, LinkBytesPerS: 40_000_000, Version: "v1", Loaded: []string{"v1"},
	}
	for i := range keys {
		state.Cached = append(state.Cached, uint64(i)<<40)
	}
	return state
}

// BenchmarkWatchMessage measures one Watch message: its bytes without the
// frame, and its encoding and decoding together.
func BenchmarkWatchMessage(b *testing.B) {
	for _, keys := range []int{0, 8, 256} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			roundTrip(b, watchState(keys), new(wire.UpstreamState))
		})
	}
}

// BenchmarkTokenFrame measures one token of an answer.
func BenchmarkTokenFrame(b *testing.B) {
	frame := &wire.Frame{Attempt: "entry-0123/1800000000000000000/1234567", Seq: 400, Body: &wire.Frame_Token{Token: &wire.Token{Position: 400, Text: " token"}}}
	roundTrip(b, frame, new(wire.Frame))
}

func roundTrip(b *testing.B, from, into proto.Message) {
	var body []byte
	var err error
	for b.Loop() {
		body, err = proto.Marshal(from)
		require.NoError(b, err)
		require.NoError(b, proto.Unmarshal(body, into))
	}
	b.ReportMetric(float64(len(body)), "message-B")
}

// BenchmarkDeltaMessage measures the head that each change sends, with the
// returns of three days remembered.
func BenchmarkDeltaMessage(b *testing.B) {
	for _, cleared := range []int{0, 100, 2_800} {
		b.Run(fmt.Sprint("returns=", cleared), func(b *testing.B) {
			head := &wire.Head{Epoch: 1_000_000, BundleDigest: make([]byte, 32), BundleEpoch: 999_000}
			for i := range models {
				head.Rollouts = append(head.Rollouts, &wire.ModelStage{Model: fmt.Sprint("model-", i), Stage: 2, Share: 0.05, Upstreams: []string{"upstream-00001", "upstream-00002", "upstream-00003"}})
			}
			for i := range cleared {
				head.Cleared = append(head.Cleared, &wire.Cleared{Subject: &wire.Subject{Kind: 2, Name: string(upstreamID(i))}, Epoch: 990_000})
			}
			roundTrip(b, &wire.Delta{Sender: &wire.Sender{Node: "entry-0123", Epoch: 1_000_000}, Head: head}, new(wire.Delta))
		})
	}
}

// watched returns a controller that has given credits to n watchers.
func watched(n int) *admit.Controller {
	c := admit.New(admit.Defaults(8, 1))
	for i := range n {
		c.GrantCredits(now, core.NodeID(fmt.Sprintf("entry-%04d", i)))
	}
	return c
}

func BenchmarkAgentWatchersHeap(b *testing.B) {
	reportHeap(b, 1_800, func() *admit.Controller { return watched(1_800) })
}

func BenchmarkAgentGrant(b *testing.B) {
	for _, n := range []int{3, 100, 1_800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := watched(n)
			for i := 0; b.Loop(); i++ {
				c.GrantCredits(now, "entry-0001")
			}
		})
	}
}

func blockKey(i int) core.BlockKey {
	return core.BlockKey{byte(i), byte(i >> 8), byte(i >> 16), 1}
}

// BenchmarkAgentBlocksHeap measures the index of the engine's blocks, full to
// its limit.
func BenchmarkAgentBlocksHeap(b *testing.B) {
	const blocks = 1 << 18
	reportHeap(b, blocks, func() *kvcache.Index {
		x := kvcache.NewIndex(blocks)
		for i := range blocks {
			x.Apply(kvcache.Event{Seq: uint64(i + 1), Kind: kvcache.EventStored, Keys: []core.BlockKey{blockKey(i)}})
		}
		return x
	})
}

// BenchmarkAgentHistoryHeap measures the uses of blocks, full to its limit.
func BenchmarkAgentHistoryHeap(b *testing.B) {
	const blocks = 1 << 16
	reportHeap(b, blocks, func() *kvcache.History {
		h := kvcache.NewHistory(blocks)
		for i := range blocks {
			h.RecordUse([]core.BlockKey{blockKey(i)}, now)
		}
		return h
	})
}

// BenchmarkWaitingCallsHeap measures calls that wait at an entry.
func BenchmarkWaitingCallsHeap(b *testing.B) {
	const calls = 10_000
	reportHeap(b, calls, func() *dispatch.Queue[string] {
		q := dispatch.New(calls, func(time.Time, *dispatch.Call[string]) bool { return false })
		for i := range calls {
			q.Offer(now, dispatch.Call[string]{
				ID: core.AttemptID(fmt.Sprint("entry-0123/", i)), Workspace: core.WorkspaceID(fmt.Sprint("w", i%3_400)),
				Pool: dispatch.Pool{Model: "m1", Version: "v1"}, Deadline: now.Add(30 * time.Second),
			})
		}
		return q
	})
}

func memberList(n int) []membership.Member {
	list := make([]membership.Member, n)
	for i := range list {
		list[i] = membership.Member{
			Node: core.NodeID(fmt.Sprintf("node-%05d", i)), Incarnation: 1, Role: "agent", State: membership.Live,
			Domain: core.FailureDomain(fmt.Sprint("d", i%domains)), Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
		}
	}
	return list
}

func memberTable(n int) *membership.Table {
	t := membership.New(membership.DefaultConfig())
	t.ApplyList(now, memberList(n))
	return t
}

func BenchmarkMembersHeap(b *testing.B) {
	for _, n := range []int{300, 1_800, processes} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			reportHeap(b, n, func() []any { t := memberTable(n); return []any{t, t.Snapshot()} })
		})
	}
}

// BenchmarkMembersTick measures one of the two turns a second of the
// membership duty.
func BenchmarkMembersTick(b *testing.B) {
	for _, n := range []int{300, 1_800, processes} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := memberTable(n)
			for b.Loop() {
				t.Tick(now)
			}
		})
	}
}

// BenchmarkMembersChanged measures what follows the change of one member: a
// new snapshot, the peers of gossip and the choice of readers.
func BenchmarkMembersChanged(b *testing.B) {
	for _, n := range []int{300, 1_800, processes} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := memberTable(n)
			s := gossip.New(gossip.DefaultConfig(), "self", rand.New(rand.NewPCG(1, 1)), now)
			for b.Loop() {
				var live []gossip.Peer
				for _, m := range t.Snapshot().All {
					live = append(live, gossip.Peer{Node: m.Node, Incarnation: m.Incarnation, Domain: m.Domain, Address: m.Address})
				}
				s.SetPeers(live, nil)
				gossip.IsReader("self", "d1", live)
			}
		})
	}
}
