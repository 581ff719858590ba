package admin_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/admin/admintest"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
)

// startEndless starts a server that gives the answer to each request.
func startEndless(t *testing.T, answer standin.EndlessAnswer) (server *standin.EndlessServer, url string) {
	t.Helper()
	server, err := standin.StartEndless(answer)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server, "http://" + server.Address()
}

// Guards against an operator's machine that keeps the bytes of a head without end until it
// runs out of memory.
func TestEndlessHeadOfAPIIsGivenUp(t *testing.T) {
	for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "{}") {
		t.Run(form, func(t *testing.T) {
			server, url := startEndless(t, answer)
			client := &admin.Client{BaseURL: url}
			_, err := client.Status(t.Context())
			require.ErrorContains(t, err, "exceeded")
			require.Equal(t, errs.Unavailable, errs.KindOf(err))
			<-server.Closed()
		})
	}
}

// Guards against an entry that keeps the bytes of a webhook's head without end until its
// machine runs out of memory.
func TestEndlessHeadOfWebhookIsGivenUp(t *testing.T) {
	for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "") {
		t.Run(form, func(t *testing.T) {
			server, url := startEndless(t, answer)
			notices := newNotices(t, "entry-1", url, new(admintest.Table))
			err := notices.Handle(t.Context(), admin.Notice{ID: "n", Type: admin.NoticeCompleted, At: time.Unix(0, 0)})
			require.ErrorContains(t, err, "exceeded")
			<-server.Closed()
		})
	}
}
