package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against an order that counts as refused or done after a message whose status is
// none of HTTP: it may have taken effect.
func TestInvalidStatusLeavesResultUnknown(t *testing.T) {
	for _, status := range standin.InvalidStatuses {
		server, err := standin.StartStatus(status, "{}")
		require.NoError(t, err)
		defer server.Close()
		c := engine.New(engine.Options{BaseURL: "http://" + server.Address()})
		require.Equal(t, errs.Unknown, errs.KindOf(c.Load(t.Context(), 1, model)), status)
		_, err = c.Info(t.Context())
		require.Equal(t, errs.Unknown, errs.KindOf(err), status)
	}
}

// Guards against an import that counts as done because the connection was reset after an
// early answer without a length.
func TestResetDuringImportLeavesResultUnknown(t *testing.T) {
	server, err := standin.StartResetting("HTTP/1.1 200 OK\r\n\r\n{}")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	c := engine.New(engine.Options{BaseURL: server.URL()})
	block := engine.Block{Key: "k", Data: make([]byte, 8<<20)}
	for range 10 {
		require.Equal(t, errs.Unknown, errs.KindOf(c.Import(t.Context(), engine.ImportRequest{Blocks: []engine.Block{block}})))
	}
}
