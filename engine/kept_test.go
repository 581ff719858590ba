package engine_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
)

// startRepeatingEngine starts an engine that answers each request with an empty object.
// On a kept connection, it writes an earlier response before that to each POST request.
func startRepeatingEngine(t *testing.T, earlier string) (address string) {
	t.Helper()
	server, err := standin.StartRaw(func(conn net.Conn, r *http.Request, number int) bool {
		if number > 1 && r.Method == http.MethodPost {
			_, _ = io.WriteString(conn, earlier)
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		return err == nil
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

// Guards against a run that counts as refused, because the engine writes an earlier
// refusal once more on a kept connection after it has read the request of the run.
func TestEarlierRefusalDoesNotRefuseRun(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	address := startRepeatingEngine(t, refusal)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	c := engine.New(engine.Options{BaseURL: "http://" + address, HTTP: &http.Client{Transport: transport}})
	_, err := c.Info(t.Context())
	require.NoError(t, err)
	_, _, err = collect(t.Context(), c, request("a", 1))
	require.Error(t, err, "the answer has no events")
	require.False(t, errs.Is(err, errs.Unavailable), "the run counts as refused: %v", err)
}

// Guards against an order that counts as refused, in conflict or without room although the
// engine carries it out, because the engine writes an earlier response once more.
func TestEarlierResponseIsNoResultOfOrder(t *testing.T) {
	orders := map[string]func(c *engine.Client) error{
		"load":   func(c *engine.Client) error { return c.Load(t.Context(), 7, model) },
		"role":   func(c *engine.Client) error { return c.SetRole(t.Context(), 7, "decode") },
		"import": func(c *engine.Client) error { return c.Import(t.Context(), engine.ImportRequest{}) },
	}
	for name, order := range orders {
		for _, status := range []string{"503 Service Unavailable", "412 Precondition Failed", "507 Insufficient Storage"} {
			t.Run(name+", "+status, func(t *testing.T) {
				address := startRepeatingEngine(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
				transport := &http.Transport{}
				t.Cleanup(transport.CloseIdleConnections)
				c := engine.New(engine.Options{BaseURL: "http://" + address, HTTP: &http.Client{Transport: transport}})
				_, err := c.Info(t.Context())
				require.NoError(t, err)
				require.NoError(t, order(c))
				require.NoError(t, order(c), "the connection of the first order is kept")
			})
		}
	}
}
