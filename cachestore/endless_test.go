package cachestore_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against an agent that keeps the bytes of a head without end until its machine
// runs out of memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "") {
		t.Run(form, func(t *testing.T) {
			server, err := standin.StartEndless(answer)
			require.NoError(t, err)
			defer server.Close()
			c := cachestore.New(cachestore.Options{BaseURL: "http://" + server.Address()})
			err = c.DeleteManifest(t.Context(), scope, "k0")
			require.ErrorContains(t, err, "exceeded")
			require.Equal(t, errs.Unavailable, errs.KindOf(err))
			<-server.Closed()
		})
	}
}

// Guards against an agent that keeps a manifest without end. A piece of three bytes in it
// takes fourteen times its size when it is decoded.
func TestEndlessManifestIsGivenUp(t *testing.T) {
	server, err := standin.StartEndless(standin.EndlessAnswer{
		Start:  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + `{"scope":"` + scope + `","pieces":[`,
		Repeat: "{},", End: "{}]}", MaxBytes: 1 << 20,
	})
	require.NoError(t, err)
	defer server.Close()
	c := cachestore.New(cachestore.Options{BaseURL: "http://" + server.Address()})
	_, err = c.LookupManifest(t.Context(), scope, longestFirst(3))
	require.ErrorContains(t, err, "exceeds")
	require.Equal(t, errs.Corrupt, errs.KindOf(err))
	<-server.Closed()
}

// Guards against a bound that rejects the manifest of a long prompt.
func TestManifestOfLongPromptIsAccepted(t *testing.T) {
	const blocks = 2000
	_, c := startStore(t, standin.KeptCacheOptions{})
	m := cachestore.Manifest{Scope: scope}
	var longestFirst []string
	for i := range blocks {
		key := strings.Repeat("0", 60) + strconv.Itoa(1000+i)
		m.Pieces = append(m.Pieces, cachestore.Piece{Key: key, SHA256: strings.Repeat("f", 64), Bytes: 64 << 20})
		longestFirst = append([]string{key}, longestFirst...)
	}
	require.NoError(t, c.PutManifest(t.Context(), m))
	found, err := c.LookupManifest(t.Context(), scope, longestFirst)
	require.NoError(t, err)
	require.Len(t, found.Pieces, blocks)
}

// Guards against an agent that keeps a piece or an error text without end until its machine
// runs out of memory.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	for status, want := range map[string]errs.Kind{"200 OK": errs.Corrupt, "503 Service Unavailable": errs.Unavailable} {
		t.Run(status, func(t *testing.T) {
			server, err := standin.StartEndless(standin.EndlessAnswer{
				Start: "HTTP/1.1 " + status + "\r\nConnection: close\r\n\r\n", Repeat: "a", MaxBytes: 1 << 20,
			})
			require.NoError(t, err)
			defer server.Close()
			c := cachestore.New(cachestore.Options{BaseURL: "http://" + server.Address()})
			_, err = c.FetchPiece(t.Context(), scope, cachestore.Piece{Key: "k0", Bytes: 10})
			require.Equal(t, want, errs.KindOf(err), "%v", err)
			require.Less(t, len(err.Error()), 1<<10)
			<-server.Closed()
		})
	}
}
