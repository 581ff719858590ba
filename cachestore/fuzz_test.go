package cachestore

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
)

// fixedResponse is an HTTP transport that returns this body for every request.
type fixedResponse string

func (body fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Request: r, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(body)))}, nil
}

// Guards against a manifest that causes a panic, or that is accepted although its
// scope or prompt is a different one or a piece has an invalid size.
func FuzzManifest(f *testing.F) {
	for _, seed := range []string{
		`{"scope":"s","pieces":[{"key":"k1","sha256":"00","bytes":4}]}`,
		`{"scope":"s","pieces":[{"key":"k1","bytes":4},{"key":"k2","bytes":4}]}`,
		`{"scope":"s","pieces":[{"key":"k2","bytes":4}]}`, `{"scope":"other","pieces":[{"key":"k1","bytes":4}]}`,
		`{"scope":"s","pieces":[{"key":"k1","bytes":-1}]}`, `{"scope":"s","pieces":[null,null,null]}`, `{"scope":"s"}`, `null`, `[`, "",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		client := New(Options{BaseURL: "http://127.0.0.1:1", HTTPClient: &http.Client{Transport: fixedResponse(body)}})
		m, err := client.LookupManifest(t.Context(), "s", []string{"k2", "k1"})
		if err != nil {
			require.True(t, errs.Is(err, errs.Corrupt), "%v", err)
			return
		}
		require.Equal(t, "s", m.Scope)
		require.NotEmpty(t, m.Pieces)
		for i, piece := range m.Pieces {
			require.Equal(t, []string{"k1", "k2"}[i], piece.Key)
			require.True(t, piece.Bytes > 0 && piece.Bytes <= maxPieceBytes)
		}
	})
}
