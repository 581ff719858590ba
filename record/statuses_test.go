package record_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a message whose status is none of HTTP that is recorded as the response to
// an at-most-once call.
func TestInvalidStatusIsNoResponseOfService(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "1000", "2", "20x", "-20", "+20", "101"} {
		t.Run(status, func(t *testing.T) {
			server, err := standin.StartRaw(func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" None\r\nContent-Length: 0\r\n\r\n")
				return false
			})
			require.NoError(t, err)
			defer server.Close()
			client, err := record.NewServiceClient("http://" + server.Address())
			require.NoError(t, err)
			_, err = client.Do(t.Context(), &record.Call{Call: core.Call{Method: http.MethodPost, Path: "/x"}, IdempotencyKey: "k"})
			require.True(t, errs.Is(err, errs.Unknown), "%v", err)
		})
	}
}
