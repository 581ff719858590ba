package cacheevents

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/wire"
)

const storeAddr = "10.0.0.1:80"

func cachedParts(ids ...string) (out []cacheindex.CachedPart) {
	for _, id := range ids {
		out = append(out, cacheindex.CachedPart{Key: cacheindex.Key{Salt: "s", ID: core.PartID(id)}, Tokens: 100})
	}
	return out
}

func ids(parts []*wire.KeptPart) (out []string) {
	for _, p := range parts {
		out = append(out, p.Id)
	}
	return out
}

// Guards against a process that treats a removed part as stored, and against
// replies without the age of the content.
func TestRelayRepliesWithChangesOfOneIncarnation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	r := NewRelay(7)
	ask := func(log, since uint64) *wire.CacheReply {
		return r.replyTo(t0.Add(300*time.Millisecond), &wire.CacheRequest{Address: storeAddr, Log: log, Since: since})
	}
	require.False(t, ask(0, 0).Known)

	r.apply(Update{Address: storeAddr, ReceivedAt: t0, Epoch: 1, IsSnapshot: true, Parts: cachedParts("a", "b")})
	first := ask(0, 0)
	require.True(t, first.Whole)
	require.ElementsMatch(t, []string{"a", "b"}, ids(first.Held))
	require.Equal(t, uint32(300), first.AgeMs)

	r.apply(Update{Address: storeAddr, ReceivedAt: t0, Epoch: 1, Parts: cachedParts("c"), RemovedKeys: []cacheindex.Key{{Salt: "s", ID: "a"}}})
	next := ask(first.Log, first.Next)
	require.False(t, next.Whole)
	require.Equal(t, []string{"c"}, ids(next.Held))
	require.Equal(t, []string{"a"}, ids(next.Removed))
	require.Empty(t, ask(next.Log, next.Next).Held)

	r.apply(Update{Address: storeAddr, ReceivedAt: t0, Epoch: 1, IsSnapshot: true, Parts: cachedParts("c")})
	require.Equal(t, []string{"b"}, ids(ask(next.Log, next.Next).Removed), "a snapshot removes the missing parts")

	r.apply(Update{Address: storeAddr, ReceivedAt: t0, Epoch: 2, IsSnapshot: true, Parts: cachedParts("d")})
	restarted := ask(next.Log, next.Next)
	require.True(t, restarted.Whole)
	require.Equal(t, uint64(2), restarted.Epoch)
	require.Equal(t, []string{"d"}, ids(restarted.Held))

	r.apply(Update{Address: storeAddr, ReceivedAt: t0, Epoch: 3, Parts: cachedParts("e")})
	require.False(t, ask(restarted.Log, restarted.Next).Known, "events without a snapshot are not the full content")
	r.apply(Update{Address: storeAddr, ReceivedAt: t0, Epoch: 3, IsSnapshot: true})
	r.apply(Update{Address: storeAddr, Unavailable: true})
	require.False(t, ask(0, 0).Known)
}

// fakeRelayClient simulates two relays. Relay "one" does not have the store's content.
type fakeRelayClient struct{ queried []string }

func (f *fakeRelayClient) CacheSince(_ context.Context, relay string, _ *wire.CacheRequest) (*wire.CacheReply, error) {
	f.queried = append(f.queried, relay)
	if relay == "one" {
		return &wire.CacheReply{}, nil
	}
	return &wire.CacheReply{Known: true, Log: 1, Next: 1, Epoch: 4, Whole: true, AgeMs: 200, Held: []*wire.KeptPart{
		{Salt: "s", Id: "a", Tokens: 9},
	}}, nil
}

// Guards against a process that keeps querying a relay without the store's content,
// and against a receive time that is later than the content.
func TestRelayWatchSwitchesToNextRelay(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := &fakeRelayClient{}
	f := New(nil, nil, NewRelay(1), client, log)
	w := &relayWatch{feed: f, source: Source{Address: storeAddr, IsStore: true, Relays: []string{"one", "two"}}}
	require.True(t, errs.Is(w.step(t.Context()), errs.Unavailable))
	before := time.Now()
	require.NoError(t, w.step(t.Context()))
	require.Equal(t, []string{"one", "two"}, client.queried)
	u, ok := f.Updates().TryReceive()
	require.True(t, ok)
	require.True(t, u.IsSnapshot)
	require.Equal(t, uint64(4), u.Epoch)
	require.False(t, u.ReceivedAt.After(before), "the age counts from the time of the query")
}
