package admin_test

import (
	"errors"
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

// Guards against an operator's machine that keeps the bytes of a body without end, of an
// answer or of an error, until it runs out of memory.
func TestEndlessBodyOfAPIIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		status, start, end string
		want               errs.Kind
	}{
		"answer": {"200 OK", `{"node":"`, `"}`, errs.Unknown},
		"error":  {"409 Conflict", `{"error":{"type":"stale","message":"`, `"}}`, errs.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, url := startEndless(t, standin.EndlessAnswer{
				Start: "HTTP/1.1 " + c.status + "\r\nConnection: close\r\n\r\n" + c.start, Repeat: "a", End: c.end, MaxBytes: 17 << 20,
			})
			client := &admin.Client{BaseURL: url}
			_, err := client.Status(t.Context())
			require.Error(t, err)
			require.Equal(t, c.want, errs.KindOf(err))
			require.Less(t, len(err.Error()), 4<<10)
			<-server.Closed()
		})
	}
}

// Guards against an operator's machine that keeps the bytes of an event without end until
// it runs out of memory.
func TestEndlessEventIsGivenUp(t *testing.T) {
	server, url := startEndless(t, standin.EndlessAnswer{
		Start: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {\"type\":\"", Repeat: "a", End: "\"}\n\n", MaxBytes: 2 << 20,
	})
	client := &admin.Client{BaseURL: url}
	err := client.Watch(t.Context(), func(admin.Event) error { return errors.New("event was accepted") })
	require.ErrorContains(t, err, "token too long")
	<-server.Closed()
}

// Guards against an entry that reads the body of a webhook's answer without end.
func TestEndlessBodyOfWebhookIsGivenUp(t *testing.T) {
	server, url := startEndless(t, standin.EndlessAnswer{
		Start: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", Repeat: "a", MaxBytes: 64 << 20,
	})
	notices := newNotices(t, "entry-1", url, new(admintest.Table))
	err := notices.Handle(t.Context(), admin.Notice{ID: "n", Type: admin.NoticeCompleted, At: time.Unix(0, 0)})
	require.NoError(t, err, "the status is a success")
	<-server.Closed()
}
