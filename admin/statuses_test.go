package admin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admin"
)

// Guards against a success for requests with the method OPTIONS, which the router can
// answer by itself, without a check of the client's role.
func TestOptionsIsNotAllowed(t *testing.T) {
	f := newFixture(t, nil)
	for _, target := range []string{admin.Prefix + "status", "*"} {
		w := httptest.NewRecorder()
		f.server.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodOptions, target, nil))
		require.GreaterOrEqual(t, w.Code, http.StatusBadRequest, target)
	}
}
