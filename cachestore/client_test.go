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
	return store, newClient(t, store)
}

func newClient(t *testing.T, h http.Handler) *cachestore.Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return cachestore.New(cachestore.Options{BaseURL: server.URL, HTTPClient: server.Client()})
}

// writeManifest writes n pieces, with the keys k0, k1 and so on, and their manifest.
func writeManifest(ctx context.Context, c *cachestore.Client, n int) (cachestore.Manifest, error) {
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

// Guards against a written prefix that is not found, and against a deleted prefix that
// is still found.
func TestWriteLookupFetchDelete(t *testing.T) {
	store, c := startStore(t, standin.KeptCacheOptions{})
	written, err := writeManifest(t.Context(), c, 3)
	require.NoError(t, err)
	found, err := c.LookupManifest(t.Context(), scope, longestFirst(5))
	require.NoError(t, err)
	require.Equal(t, written, found)
	data, err := c.FetchPiece(t.Context(), scope, found.Pieces[1])
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

// Guards against a fault of the store that the client reports with a wrong kind of
// error, so that the caller reacts wrongly. Kind 0 is success.
func TestStoreFaults(t *testing.T) {
	cases := map[string]struct {
		fault              func(*standin.KeptCache)
		put, lookup, fetch errs.Kind
		contentIntact      bool // a lookup succeeds after the fault has ended
		timeout            time.Duration
	}{
		"none":           {fault: func(*standin.KeptCache) {}, contentIntact: true},
		"down":           {fault: setFaults(standin.KeptCacheFaults{Down: true}), put: errs.Unavailable, lookup: errs.Unavailable, fetch: errs.Unavailable, contentIntact: true},
		"slow":           {fault: setFaults(standin.KeptCacheFaults{Delay: time.Hour}), put: errs.Unavailable, lookup: errs.Unavailable, fetch: errs.Unavailable, contentIntact: true, timeout: 10 * time.Millisecond},
		"lost responses": {fault: setFaults(standin.KeptCacheFaults{LoseAnswers: true}), put: errs.Unavailable, lookup: errs.Unavailable, fetch: errs.Unavailable, contentIntact: true},
		"corrupt":        {fault: setFaults(standin.KeptCacheFaults{CorruptPieces: true}), fetch: errs.Corrupt, contentIntact: true},
		"half manifest":  {fault: setFaults(standin.KeptCacheFaults{HalfManifests: true}), lookup: errs.Corrupt, contentIntact: true},
		"lost all":       {fault: (*standin.KeptCache).LoseEverything, lookup: errs.NotFound, fetch: errs.NotFound},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			store, c := startStore(t, standin.KeptCacheOptions{})
			m, err := writeManifest(t.Context(), c, 2)
			require.NoError(t, err)
			tc.fault(store)
			ctx, cancel := context.WithTimeout(t.Context(), cmp.Or(tc.timeout, time.Minute))
			defer cancel()
			_, err = c.LookupManifest(ctx, scope, longestFirst(2))
			requireKind(t, tc.lookup, err)
			_, err = c.FetchPiece(ctx, scope, m.Pieces[0])
			requireKind(t, tc.fetch, err)
			_, err = c.PutPiece(ctx, scope, "k4", []byte("fresh"))
			requireKind(t, tc.put, err)
			store.SetFaults(standin.KeptCacheFaults{})
			_, err = c.LookupManifest(t.Context(), scope, longestFirst(2))
			require.Equal(t, tc.contentIntact, err == nil, "%v", err)
		})
	}
}

func setFaults(f standin.KeptCacheFaults) func(*standin.KeptCache) {
	return func(s *standin.KeptCache) { s.SetFaults(f) }
}

func requireKind(t *testing.T, want errs.Kind, err error) {
	t.Helper()
	require.Equal(t, want == 0, err == nil, "%v", err)
	require.True(t, err == nil || errs.Is(err, want), "want %v, got %v", want, err)
}

// Guards against a full store that is reported as unavailable, and against a manifest
// that contains rejected pieces.
func TestFullStore(t *testing.T) {
	store, c := startStore(t, standin.KeptCacheOptions{MemoryBytes: 250})
	_, err := writeManifest(t.Context(), c, 3)
	requireKind(t, errs.Exhausted, err)
	_, err = c.PutPiece(t.Context(), scope, "k0", []byte(strings.Repeat("k0", 50)))
	require.NoError(t, err, "writing a stored piece again needs no free memory")
	require.Equal(t, standin.KeptCacheLedger{UsedBytes: 200, Pieces: 2, Refused: 1}, store.Ledger())
}

// Guards against a manifest that is accepted although it is malformed or too large, or
// its scope, prompt or piece sizes are wrong, and against pieces of such a manifest that
// are returned beside the error: callers index the blocks of the prompt by them.
func TestLookupRejectsInvalidManifests(t *testing.T) {
	cases := map[string]string{
		"malformed":          `{"scope":"salt","pieces":[`,
		"other scope":        `{"scope":"pepper","pieces":[{"key":"k0","bytes":1}]}`,
		"empty":              `{"scope":"salt"}`,
		"other prompt":       `{"scope":"salt","pieces":[{"key":"k1","bytes":1}]}`,
		"gap":                `{"scope":"salt","pieces":[{"key":"k0","bytes":1},{"key":"k2","bytes":1}]}`,
		"wrong sequence":     `{"scope":"salt","pieces":[{"key":"k1","bytes":1},{"key":"k0","bytes":1}]}`,
		"too many pieces":    `{"scope":"salt","pieces":[{"key":"k0","bytes":1},{"key":"k1","bytes":1},{"key":"k2","bytes":1},{"key":"k3","bytes":1}]}`,
		"piece too large":    `{"scope":"salt","pieces":[{"key":"k0","bytes":999999999}]}`,
		"response too large": `{"scope":"salt","pieces":[],"pad":"` + strings.Repeat("x", 4<<20) + `"}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			manifest, err := c.LookupManifest(t.Context(), scope, longestFirst(3))
			requireKind(t, errs.Corrupt, err)
			require.Zero(t, manifest)
		})
	}
}

// Guards against a piece that is accepted although it is truncated or too long.
func TestFetchRejectsWrongLength(t *testing.T) {
	piece := cachestore.Piece{Key: "k0", Bytes: 10}
	for name, tc := range map[string]struct {
		body      string
		truncated bool
		want      errs.Kind
	}{
		"short":     {"123456789", false, errs.Corrupt},
		"long":      {"12345678901", false, errs.Corrupt},
		"truncated": {"12345", true, errs.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tc.truncated {
					w.Header().Set("Content-Length", "10")
				}
				_, _ = w.Write([]byte(tc.body))
			}))
			_, err := c.FetchPiece(t.Context(), scope, piece)
			requireKind(t, tc.want, err)
		})
	}
}
