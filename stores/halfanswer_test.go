package stores_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/stores"
)

// Guards against a message whose status is none of HTTP that counts as the response of a
// service, and a transaction that counts as not applied after it.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range standin.InvalidStatuses {
		server, err := standin.StartStatus(status, "[]")
		require.NoError(t, err)
		defer server.Close()
		for service, read := range reads {
			require.Equal(t, errs.Unavailable, errs.KindOf(read(t, "http://"+server.Address())), "%s, status %s", service, status)
		}
		table, err := stores.NewTable(stores.TableOptions{Endpoint: endpoint("http://" + server.Address()), Name: "t", Retry: shortRetry})
		require.NoError(t, err)
		err = table.Transact(t.Context(), "op", []stores.Write{write("a", 0, "v")})
		require.Equal(t, errs.Unknown, errs.KindOf(err), status)
	}
}

// Guards against an object that counts as written because the connection was reset after an
// early response without a length.
func TestResetDuringWriteIsNoSuccess(t *testing.T) {
	server, err := standin.StartResetting("HTTP/1.1 200 OK\r\n\r\n")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	objects, err := stores.NewObjectStore(stores.ObjectStoreOptions{Endpoint: endpoint(server.URL()), Bucket: "b", Retry: shortRetry})
	require.NoError(t, err)
	for range 5 {
		require.Equal(t, errs.Unavailable, errs.KindOf(objects.Put(t.Context(), "o", make([]byte, 8<<20))))
	}
}
