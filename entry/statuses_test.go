package entry_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a success that no server gave, for requests with the method OPTIONS: the
// router of the HTTP handler can answer them by itself.
func TestOptionsIsNotAllowed(t *testing.T) {
	cl := newCluster(t, engineOptions())
	r, err := http.NewRequestWithContext(t.Context(), http.MethodOptions, cl.url+"/v1/completions", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusMethodNotAllowed, resp.StatusCode)
}
