package admin_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a message whose status is none of HTTP that counts as the success of an
// administration request.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20"} {
		t.Run(status, func(t *testing.T) {
			server, err := standin.StartRaw(func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" None\r\nContent-Length: 2\r\n\r\n{}")
				return false
			})
			require.NoError(t, err)
			defer server.Close()
			client := &admin.Client{BaseURL: "http://" + server.Address()}
			_, err = client.Status(t.Context())
			require.Error(t, err)
		})
	}
}
