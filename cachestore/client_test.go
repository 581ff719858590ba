package cachestore_test

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
)

const scope = "salt"

func startStore(t *testing.T, o standin.KeptCacheOptions) (*standin.KeptCache, *cachestore.Client) {
	t.Helper()
	store := standin.NewKeptCache(o)
	t.Cleanup(store.Close)
	return store, connect(t, store)
}

func connect(t *testing.T, h http.Handler) *cachestore.Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return cachestore.New(cachestore.Options{BaseURL: server.URL, HTTPClient: server.Client()})
}

// publish writes pieces k0 to kn-1 and their manifest.
func publish(ctx context.Context, c *cachestore.Client, n int) (cachestore.Manifest, error) {
	m := cachestore.Manifest{Scope: scope}
	for _, key := range keys(n) {
		piece, err := c.PutPiece(ctx, scope, key, []byte(strings.Repeat(key, 50)))
		if err != nil {
			return m, err
		}
		m.Pieces = append(m.Pieces, piece)
	}
	return m, c.PutManifest(ctx, m)
}

func keys(n int) []string { return []string{"k0", "k1", "k2", "k3", "k4"}[:n] }

func longestFirst(n int) []string {
	reversed := slices.Clone(keys(n))
	slices.Reverse(reversed)
	return reversed
}

// Guards against a prefix that is not found again, and against a deleted one
// that still is.
func TestPublishLookupFetchDelete(t *testing.T) {
	store, c := startStore(t, standin.KeptCacheOptions{})
	want, err := publish(t.Context(), c, 3)
	require.NoError(t, err)
	got, err := c.LookupManifest(t.Context(), scope, longestFirst(5))
	require.NoError(t, err)
	require.Equal(t, want, got)
	data, err := c.FetchPiece(t.Context(), scope, got.Pieces[1])
	require.NoError(t, err)
	require.Equal(t, strings.Repeat("k1", 50), string(data))
	_, err = c.LookupManifest(t.Context(), "other", longestFirst(5))
	require.True(t, errs.Is(err, errs.NotFound), "%v", err)
	require.NoError(t, c.DeleteManifest(t.Context(), scope, "k2"))
	require.NoError(t, c.DeletePiece(t.Context(), scope, "k2"))
	require.NoError(t, c.DeletePiece(t.Context(), scope, "k2"), "a repeated deletion succeeds")
	_, err = c.LookupManifest(t.Context(), scope, longestFirst(5))
	require.True(t, errs.Is(err, errs.NotFound), "%v", err)
	require.Equal(t, 2, store.Ledger().Pieces)
}

// Guards against a fault of the store that the client does not report with the
// kind that its caller acts on. Kind 0 is success.
func TestStoreFaults(t *testing.T) {
	cases := map[string]struct {
		fault              func(*standin.KeptCache)
		put, lookup, fetch errs.Kind
		recovered          bool // content is intact after the fault
		limit              time.Duration
	}{
		"none":          {fault: func(*standin.KeptCache) {}, recovered: true},
		"down":          {fault: faults(standin.KeptCacheFaults{Down: true}), put: errs.Unavailable, lookup: errs.Unavailable, fetch: errs.Unavailable, recovered: true},
		"slow":          {fault: faults(standin.KeptCacheFaults{Delay: time.Hour}), put: errs.Unavailable, lookup: errs.Unavailable, fetch: errs.Unavailable, recovered: true, limit: 10 * time.Millisecond},
		"lost answers":  {fault: faults(standin.KeptCacheFaults{LoseAnswers: true}), put: errs.Unavailable, lookup: errs.Unavailable, fetch: errs.Unavailable, recovered: true},
		"corrupt":       {fault: faults(standin.KeptCacheFaults{CorruptPieces: true}), fetch: errs.Corrupt, recovered: true},
		"half manifest": {fault: faults(standin.KeptCacheFaults{HalfManifests: true}), lookup: errs.Corrupt, recovered: true},
		"lost all":      {fault: (*standin.KeptCache).LoseEverything, lookup: errs.NotFound, fetch: errs.NotFound},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			store, c := startStore(t, standin.KeptCacheOptions{})
			m, err := publish(t.Context(), c, 2)
			require.NoError(t, err)
			tc.fault(store)
			ctx, cancel := context.WithTimeout(t.Context(), cmp.Or(tc.limit, time.Minute))
			defer cancel()
			_, err = c.LookupManifest(ctx, scope, longestFirst(2))
			requireKind(t, tc.lookup, err)
			_, err = c.FetchPiece(ctx, scope, m.Pieces[0])
			requireKind(t, tc.fetch, err)
			_, err = c.PutPiece(ctx, scope, "k4", []byte("fresh"))
			requireKind(t, tc.put, err)
			store.SetFaults(standin.KeptCacheFaults{})
			_, err = c.LookupManifest(t.Context(), scope, longestFirst(2))
			require.Equal(t, tc.recovered, err == nil, "%v", err)
		})
	}
}

func faults(f standin.KeptCacheFaults) func(*standin.KeptCache) {
	return func(s *standin.KeptCache) { s.SetFaults(f) }
}

func requireKind(t *testing.T, want errs.Kind, err error) {
	t.Helper()
	require.Equal(t, want == 0, err == nil, "%v", err)
	require.True(t, err == nil || errs.Is(err, want), "want %v, got %v", want, err)
}

// Guards against a full store that is taken for a broken one, and against a
// manifest that names pieces which were refused.
func TestFullStore(t *testing.T) {
	store, c := startStore(t, standin.KeptCacheOptions{MemoryBytes: 250})
	_, err := publish(t.Context(), c, 3)
	requireKind(t, errs.Exhausted, err)
	_, err = c.PutPiece(t.Context(), scope, "k0", []byte(strings.Repeat("k0", 50)))
	require.NoError(t, err, "a repeated piece needs no room")
	require.Equal(t, standin.KeptCacheLedger{UsedBytes: 200, Pieces: 2, Refused: 1}, store.Ledger())
}

// Guards against content of another prompt, scope or size that is accepted.
func TestLookupRefusesForeignManifests(t *testing.T) {
	cases := map[string]string{
		"malformed":        `{"scope":"salt","pieces":[`,
		"other scope":      `{"scope":"pepper","pieces":[{"key":"k0","bytes":1}]}`,
		"empty":            `{"scope":"salt"}`,
		"other prompt":     `{"scope":"salt","pieces":[{"key":"k1","bytes":1}]}`,
		"gap":              `{"scope":"salt","pieces":[{"key":"k0","bytes":1},{"key":"k2","bytes":1}]}`,
		"out of order":     `{"scope":"salt","pieces":[{"key":"k1","bytes":1},{"key":"k0","bytes":1}]}`,
		"too many pieces":  `{"scope":"salt","pieces":[{"key":"k0","bytes":1},{"key":"k1","bytes":1},{"key":"k2","bytes":1},{"key":"k3","bytes":1}]}`,
		"piece too large":  `{"scope":"salt","pieces":[{"key":"k0","bytes":999999999}]}`,
		"answer too large": `{"scope":"salt","pieces":[],"pad":"` + strings.Repeat("x", 4<<20) + `"}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			c := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			_, err := c.LookupManifest(t.Context(), scope, longestFirst(3))
			requireKind(t, errs.Corrupt, err)
		})
	}
}

// Guards against a piece that is accepted although it is cut or too long.
func TestFetchRefusesWrongLength(t *testing.T) {
	piece := cachestore.Piece{Key: "k0", Bytes: 10}
	for name, tc := range map[string]struct {
		body string
		cut  bool
		want errs.Kind
	}{
		"short":        {"123456789", false, errs.Corrupt},
		"long":         {"12345678901", false, errs.Corrupt},
		"cut half-way": {"12345", true, errs.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			c := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tc.cut {
					w.Header().Set("Content-Length", "10")
				}
				_, _ = w.Write([]byte(tc.body))
			}))
			_, err := c.FetchPiece(t.Context(), scope, piece)
			requireKind(t, tc.want, err)
		})
	}
}
