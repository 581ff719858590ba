package cachestore_test

import (
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
