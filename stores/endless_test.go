package stores_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/stores"
)

// reads contains one read by each client of the platform's services, by its name.
var reads = map[string]func(t *testing.T, url string) error{
	"table": func(t *testing.T, url string) error {
		table, err := stores.NewTable(stores.TableOptions{Endpoint: endpoint(url), Name: "t", Retry: shortRetry})
		require.NoError(t, err)
		_, err = table.Get(t.Context(), stores.Key{Partition: "p", Sort: "s"})
		return err
	},
	"objects": func(t *testing.T, url string) error {
		objects, err := stores.NewObjectStore(stores.ObjectStoreOptions{Endpoint: endpoint(url), Bucket: "b", Retry: shortRetry})
		require.NoError(t, err)
		_, err = objects.Get(t.Context(), "o")
		return err
	},
	"members": func(t *testing.T, url string) error {
		lister, err := stores.NewVMLister(stores.VMListerOptions{URL: url, Retry: shortRetry})
		require.NoError(t, err)
		_, err = lister.List(t.Context())
		return err
	},
}

func endpoint(url string) stores.Endpoint {
	return stores.Endpoint{URL: url, AccessKey: "a", SecretKey: "s"}
}

// startEndless starts a server that gives the answer to each request.
func startEndless(t *testing.T, answer standin.EndlessAnswer) (server *standin.EndlessServer, url string) {
	t.Helper()
	server, err := standin.StartEndless(answer)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server, "http://" + server.Address()
}

// requireClosed waits until the attempts of an operation have closed their connections.
func requireClosed(server *standin.EndlessServer, attempts int) {
	for range attempts {
		<-server.Closed()
	}
}

// Guards against a process that keeps the bytes of a head without end until its machine
// runs out of memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for service, read := range reads {
		for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "[]") {
			t.Run(service+", "+form, func(t *testing.T) {
				server, url := startEndless(t, answer)
				err := read(t, url)
				require.ErrorContains(t, err, "exceeded")
				requireKind(t, errs.Unavailable, err)
				requireClosed(server, shortRetry.MaxAttempts)
			})
		}
	}
}

// Guards against a process that keeps the bytes of a body without end, of an answer or of
// an error, until its machine runs out of memory.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		service, status, start, end string
		want                        errs.Kind
		attempts                    int
	}{
		"table":          {"table", "200 OK", `{"Ignored":"`, `"}`, errs.Unavailable, shortRetry.MaxAttempts},
		"objects":        {"objects", "200 OK", "", "", errs.Corrupt, 1},
		"error, table":   {"table", "500 Internal Server Error", `{"message":"`, `"}`, errs.Unavailable, shortRetry.MaxAttempts},
		"error, objects": {"objects", "500 Internal Server Error", "<Error><Message>", "</Message></Error>", errs.Unavailable, shortRetry.MaxAttempts},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, url := startEndless(t, standin.EndlessAnswer{
				Start:  "HTTP/1.1 " + c.status + "\r\nConnection: close\r\n\r\n" + c.start,
				Repeat: "a", End: c.end, MaxBytes: 17 << 20,
			})
			err := reads[c.service](t, url)
			require.ErrorContains(t, err, " bytes")
			requireKind(t, c.want, err)
			requireClosed(server, c.attempts)
		})
	}
}

// Guards against a list of small elements that takes a hundred times its size when it is
// decoded, or of one element without end.
func TestEndlessMembershipListIsGivenUp(t *testing.T) {
	answers := map[string]standin.EndlessAnswer{
		"many groups":    {Start: "[", Repeat: "{},", End: "{}]", MaxBytes: 1 << 20},
		"one long group": {Start: `[{"labels":{"`, Repeat: "a", End: `":""}}]`, MaxBytes: 1 << 20},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			answer.Start = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + answer.Start
			server, url := startEndless(t, answer)
			err := reads["members"](t, url)
			requireKind(t, errs.Corrupt, err)
			require.ErrorContains(t, err, "more than")
			requireClosed(server, 1)
		})
	}
}

// Guards against a cut list, or one with other text behind it, that counts as complete.
func TestMembershipListEndsWithItsArray(t *testing.T) {
	for _, list := range []string{"", "null", "{}", "[", "[{}", "[{},", "[{}]]", "[{}] {}", "[{}]a", `[{"targets":1}]`} {
		_, url := startEndless(t, standin.EndlessAnswer{Start: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", End: list})
		requireKind(t, errs.Corrupt, reads["members"](t, url))
	}
}
