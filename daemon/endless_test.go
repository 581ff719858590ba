package daemon

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against an agent that keeps the bytes of an engine's or a kept-cache store's head
// without end until its machine runs out of memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	deps := Deps{}.withDefaultTransports()
	transports := map[string]http.RoundTripper{"engine": deps.Transport, "store": deps.StoreTransport}
	for name, transport := range transports {
		for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "") {
			t.Run(name+", "+form, func(t *testing.T) {
				server, err := standin.StartEndless(answer)
				require.NoError(t, err)
				defer server.Close()
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address(), nil)
				require.NoError(t, err)
				response, err := transport.RoundTrip(request)
				if err == nil {
					_ = response.Body.Close()
				}
				require.ErrorContains(t, err, "exceeded")
				<-server.Closed()
			})
		}
	}
}
