package engine_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against an agent that keeps the bytes of a head without end until its machine
// runs out of memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "{}") {
		t.Run(form, func(t *testing.T) {
			server, err := standin.StartEndless(answer)
			require.NoError(t, err)
			defer server.Close()
			c := engine.New(engine.Options{BaseURL: "http://" + server.Address()})
			_, err = c.Info(t.Context())
			require.ErrorContains(t, err, "exceeded")
			require.Equal(t, errs.Unknown, errs.KindOf(err))
			<-server.Closed()
			err = c.Load(t.Context(), 1, model)
			require.ErrorContains(t, err, "exceeded", "an order has a transport of its own")
			<-server.Closed()
		})
	}
}

// Guards against an entry that keeps tokens without end of the text of one answer until its
// machine runs out of memory.
func TestLargeTokenIsGivenUp(t *testing.T) {
	event := `data: {"id":"r1","model":"` + model + `","choices":[{"text":"` + strings.Repeat("a", 32<<10) + `"}]}` + "\n\n"
	server, err := standin.StartEndless(standin.EndlessAnswer{
		Start: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", Repeat: event, MaxBytes: 64 * len(event),
		End: `data: {"id":"r1","model":"` + model + `","choices":[{"text":"","finish_reason":"length"}],"usage":{"completion_tokens":64}}` + "\n\ndata: [DONE]\n\n",
	})
	require.NoError(t, err)
	defer server.Close()
	c := engine.New(engine.Options{BaseURL: "http://" + server.Address()})
	text, _, err := collect(t.Context(), c, request("a", 64))
	require.Equal(t, errs.Corrupt, errs.KindOf(err), "%v, %d bytes of text", err, len(text))
	require.Empty(t, text)
	<-server.Closed()
}

// Guards against an agent that keeps a body, an error text or a stream without end of an
// engine until its machine runs out of memory.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	info := func(c *engine.Client) error {
		_, err := c.Info(t.Context())
		return err
	}
	complete := func(c *engine.Client) error {
		_, _, err := collect(t.Context(), c, request("a", 1))
		return err
	}
	cases := map[string]struct {
		status, start string
		call          func(c *engine.Client) error
		want          errs.Kind
	}{
		"answer":                    {"200 OK", `{"role":"`, info, errs.Corrupt},
		"error":                     {"503 Service Unavailable", "", info, errs.Unavailable},
		"stream without a line end": {"200 OK", "data: ", complete, errs.Corrupt},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, err := standin.StartEndless(standin.EndlessAnswer{
				Start: "HTTP/1.1 " + c.status + "\r\nConnection: close\r\n\r\n" + c.start, Repeat: "a", End: `"}`, MaxBytes: 8 << 20,
			})
			require.NoError(t, err)
			defer server.Close()
			err = c.call(engine.New(engine.Options{BaseURL: "http://" + server.Address()}))
			require.Equal(t, c.want, errs.KindOf(err), "%v", err)
			require.Less(t, len(err.Error()), 1<<10)
			<-server.Closed()
		})
	}
}
