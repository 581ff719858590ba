package engine_test

import (
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
