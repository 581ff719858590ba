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

const storeAt = "10.0.0.1:80"

func heldParts(ids ...string) (out []cacheindex.CachedPart) {
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

// Guards against a process that believes a part to be complete that its relay
// does not hold any more, and against content without its age.
func TestRelayTellsChangesOfOneIncarnation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	r := NewRelay(7)
	ask := func(log, since uint64) *wire.CacheReply {
		return r.answer(t0.Add(300*time.Millisecond), &wire.CacheRequest{Address: storeAt, Log: log, Since: since})
	}
	require.False(t, ask(0, 0).Known)

	r.take(Update{Address: storeAt, ReceivedAt: t0, Incarnation: 1, IsSnapshot: true, Parts: heldParts("a", "b")})
	first := ask(0, 0)
	require.True(t, first.Whole)
	require.ElementsMatch(t, []string{"a", "b"}, ids(first.Held))
	require.Equal(t, uint32(300), first.AgeMs)

	r.take(Update{Address: storeAt, ReceivedAt: t0, Incarnation: 1, Parts: heldParts("c"), RemovedKeys: []cacheindex.Key{{Salt: "s", ID: "a"}}})
	next := ask(first.Log, first.Next)
	require.False(t, next.Whole)
	require.Equal(t, []string{"c"}, ids(next.Held))
	require.Equal(t, []string{"a"}, ids(next.Removed))
	require.Empty(t, ask(next.Log, next.Next).Held)

	r.take(Update{Address: storeAt, ReceivedAt: t0, Incarnation: 1, IsSnapshot: true, Parts: heldParts("c")})
	require.Equal(t, []string{"b"}, ids(ask(next.Log, next.Next).Removed), "a whole reading drops what is gone")

	r.take(Update{Address: storeAt, ReceivedAt: t0, Incarnation: 2, IsSnapshot: true, Parts: heldParts("d")})
	reborn := ask(next.Log, next.Next)
	require.True(t, reborn.Whole)
	require.Equal(t, uint64(2), reborn.Epoch)
	require.Equal(t, []string{"d"}, ids(reborn.Held))

	r.take(Update{Address: storeAt, ReceivedAt: t0, Incarnation: 3, Parts: heldParts("e")})
	require.False(t, ask(reborn.Log, reborn.Next).Known, "events of an unknown incarnation say nothing of the rest")
	r.take(Update{Address: storeAt, ReceivedAt: t0, Incarnation: 3, IsSnapshot: true})
	r.take(Update{Address: storeAt, Unavailable: true})
	require.False(t, ask(0, 0).Known)
}

// fakeAsker answers for two relays, of which the first one knows nothing.
type fakeAsker struct{ asked []string }

func (f *fakeAsker) CacheSince(_ context.Context, relay string, _ *wire.CacheRequest) (*wire.CacheReply, error) {
	f.asked = append(f.asked, relay)
	if relay == "one" {
		return &wire.CacheReply{}, nil
	}
	return &wire.CacheReply{Known: true, Log: 1, Next: 1, Epoch: 4, Whole: true, AgeMs: 200, Held: []*wire.KeptPart{
		{Salt: "s", Id: "a", Tokens: 9},
	}}, nil
}

// Guards against a process that stays with a relay that knows nothing, and
// against content that is taken for newer than it is.
func TestRelayWatchTurnsToAnotherRelay(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	asker := &fakeAsker{}
	f := New(nil, nil, NewRelay(1), asker, log)
	w := &relayWatch{feed: f, source: Source{Address: storeAt, IsStore: true, Relays: []string{"one", "two"}}}
	require.True(t, errs.Is(w.step(t.Context()), errs.Unavailable))
	before := time.Now()
	require.NoError(t, w.step(t.Context()))
	require.Equal(t, []string{"one", "two"}, asker.asked)
	u, ok := f.Updates().TryReceive()
	require.True(t, ok)
	require.True(t, u.IsSnapshot)
	require.Equal(t, uint64(4), u.Incarnation)
	require.False(t, u.ReceivedAt.After(before), "the age counts from the question")
}
