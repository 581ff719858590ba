package cachestore_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a piece that counts as written or rejected after a message whose status is
// none of HTTP.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range standin.InvalidStatuses {
		server, err := standin.StartStatus(status, "")
		require.NoError(t, err)
		defer server.Close()
		c := cachestore.New(cachestore.Options{BaseURL: "http://" + server.Address()})
		_, err = c.PutPiece(t.Context(), scope, "k0", []byte("data"))
		require.Equal(t, errs.Unavailable, errs.KindOf(err), status)
	}
}

// Guards against a piece that counts as written because the connection was reset after an
// early answer without a length.
func TestResetDuringWriteIsNoSuccess(t *testing.T) {
	server, err := standin.StartResetting("HTTP/1.1 200 OK\r\n\r\n")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	c := cachestore.New(cachestore.Options{BaseURL: server.URL()})
	for range 10 {
		_, err := c.PutPiece(t.Context(), scope, "k0", make([]byte, 8<<20))
		require.Equal(t, errs.Unavailable, errs.KindOf(err))
	}
}
