package httplimit_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
)

// TestMain fails if goroutines of the tests still run after all tests have finished.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func get(t *testing.T, address string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
	require.NoError(t, err)
	return httplimit.NewClient().Do(request)
}

// Guards against a process that keeps the bytes of a head without end until its machine
// runs out of memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "") {
		t.Run(form, func(t *testing.T) {
			server, err := standin.StartEndless(answer)
			require.NoError(t, err)
			defer server.Close()
			response, err := get(t, server.Address())
			if err == nil {
				_ = response.Body.Close()
			}
			require.ErrorContains(t, err, "exceeded")
			<-server.Closed()
		})
	}
}

// Guards against a bound that rejects the head of a sound server.
func TestLongHeadIsAccepted(t *testing.T) {
	server, err := standin.StartEndless(standin.EndlessAnswer{
		Start: "HTTP/1.1 200 OK\r\nConnection: close\r\nA: ", Repeat: "a", MaxBytes: httplimit.MaxHeadBytes / 2, End: "\r\n\r\n",
	})
	require.NoError(t, err)
	defer server.Close()
	response, err := get(t, server.Address())
	require.NoError(t, err)
	require.Equal(t, strings.Repeat("a", httplimit.MaxHeadBytes/2), response.Header.Get("A"))
	require.NoError(t, response.Body.Close())
}
