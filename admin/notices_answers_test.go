package admin_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admin/admintest"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a notice that counts as posted after a message whose status is none of
// HTTP, or after a part of a response.
func TestInvalidAnswerIsNoPostedNotice(t *testing.T) {
	bodies := map[string]string{"200 OK\r\nContent-Length: 9\r\nX:": "part", "200 OK\r\nTransfer-Encoding: chunked\r\nX:": "9\r\npart"}
	for _, status := range standin.InvalidStatuses {
		bodies[status] = ""
	}
	for status, body := range bodies {
		t.Run(status, func(t *testing.T) {
			server, err := standin.StartStatus(status, body)
			require.NoError(t, err)
			defer server.Close()
			notices := newNotices(t, "entry-1", "http://"+server.Address(), new(admintest.Table))
			require.Error(t, notices.Handle(t.Context(), withdrawn()))
		})
	}
}
