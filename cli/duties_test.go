package cli_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cli"
)

// Guards against a command that hides which front holds a duty, and against one that
// reports success without a front.
func TestDuties(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("# TYPE duties_fence gauge\nduties_fence{holder=\"a\",subject=\"usage\"} 7\nother 3\n"))
	}))
	defer server.Close()
	root := cli.NewRoot()
	var out bytes.Buffer
	root.SetOut(&out)
	require.Equal(t, cli.ExitOK, cli.Run(t.Context(), root, []string{"duties", "--front", server.Listener.Addr().String()}))
	require.Contains(t, out.String(), `duties_fence{holder="a",subject="usage"}`)
	require.NotContains(t, out.String(), "other")
	root = cli.NewRoot()
	root.SetErr(&bytes.Buffer{})
	require.Equal(t, cli.ExitInvalid, cli.Run(t.Context(), root, []string{"duties"}))
}
