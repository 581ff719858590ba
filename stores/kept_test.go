package stores_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/stores"
)

// startRepeating starts a service that writes an earlier response before each answer on a
// kept connection.
func startRepeating(t *testing.T, earlier string, answer func(r *http.Request) string) (url string) {
	t.Helper()
	server, err := standin.StartRaw(func(conn net.Conn, r *http.Request, number int) bool {
		if number > 1 {
			_, _ = io.WriteString(conn, earlier)
		}
		_, err := io.WriteString(conn, answer(r))
		return err == nil
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return "http://" + server.Address()
}

func rawResponse(status, body string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Guards against a write that counts as made although its condition failed, because the
// table sends an earlier response once more.
func TestEarlierResponseIsNoResultOfTransaction(t *testing.T) {
	const canceled = `{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","message":"canceled",` +
		`"CancellationReasons":[{"Code":"None"},{"Code":"ConditionalCheckFailed"}]}`
	applied := rawResponse("200 OK", "{}")
	var transactions atomic.Int32
	url := startRepeating(t, applied, func(*http.Request) string {
		if transactions.Add(1) == 1 {
			return applied
		}
		return rawResponse("400 Bad Request", canceled)
	})
	table, err := stores.NewTable(stores.TableOptions{Endpoint: endpoint(url), Name: "t", Retry: shortRetry})
	require.NoError(t, err)
	require.NoError(t, table.Transact(t.Context(), "operation 1", []stores.Write{write("a", 0, "x")}))
	err = table.Transact(t.Context(), "operation 2", []stores.Write{write("a", 0, "y")})
	requireKind(t, errs.Conflict, err)
}

// Guards against a response of another call, perhaps of another workspace, that is read as
// an object, because the object store sends an earlier response once more.
func TestEarlierResponseIsNoObject(t *testing.T) {
	url := startRepeating(t, rawResponse("200 OK", "earlier"), func(r *http.Request) string { return rawResponse("200 OK", r.URL.Path) })
	objects, err := stores.NewObjectStore(stores.ObjectStoreOptions{Endpoint: endpoint(url), Bucket: "b", Retry: shortRetry})
	require.NoError(t, err)
	for _, name := range []string{"first", "second"} {
		body, err := objects.Get(t.Context(), name)
		require.NoError(t, err)
		require.Equal(t, "/b/"+name, string(body))
	}
}

// Guards against an operation that counts as applied because its read-back gets the row of
// another operation, which the table sends once more.
func TestEarlierResponseIsNoReadBack(t *testing.T) {
	const row = `{"Item":{"pk":{"S":"operation/other"},"sk":{"S":"id"}}}`
	const lost = `{"__type":"InternalServerError","message":"response of the table was lost"}`
	url := startRepeating(t, rawResponse("200 OK", row), func(r *http.Request) string {
		if strings.HasSuffix(r.Header.Get("X-Amz-Target"), ".GetItem") {
			return rawResponse("200 OK", "{}")
		}
		return rawResponse("500 Internal Server Error", lost)
	})
	table, err := stores.NewTable(stores.TableOptions{Endpoint: endpoint(url), Name: "t", Retry: shortRetry})
	require.NoError(t, err)
	err = table.Transact(t.Context(), "operation 1", []stores.Write{write("a", 1, "y")})
	requireKind(t, errs.Unavailable, err)
}

// Guards against the row of another key, perhaps of another workspace, that is read because
// the table sends an earlier response once more.
func TestEarlierResponseIsNoRowOfAnotherKey(t *testing.T) {
	row := func(sortKey string) string {
		return rawResponse("200 OK", `{"Item":{"pk":{"S":"p"},"sk":{"S":"`+sortKey+`"},"v":{"N":"1"},"d":{"B":"eA=="}}}`)
	}
	var reads atomic.Int32
	url := startRepeating(t, row("a"), func(*http.Request) string {
		if reads.Add(1) == 1 {
			return row("a")
		}
		return row("b")
	})
	table, err := stores.NewTable(stores.TableOptions{Endpoint: endpoint(url), Name: "t", Retry: shortRetry})
	require.NoError(t, err)
	for _, sortKey := range []string{"a", "b"} {
		found, err := table.Get(t.Context(), stores.Key{Partition: "p", Sort: sortKey})
		require.NoError(t, err)
		require.Equal(t, sortKey, found.Key.Sort)
	}
}

// Guards against a list of another partition, or of an earlier page, that is read because
// the table sends an earlier response once more.
func TestEarlierResponseIsNoListOfAnotherPartition(t *testing.T) {
	page := func(partition, sortKey string) string {
		return rawResponse("200 OK", `{"Items":[{"pk":{"S":"`+partition+`"},"sk":{"S":"`+sortKey+`"},"v":{"N":"1"},"d":{"B":"eA=="}}]}`)
	}
	for name, next := range map[string]stores.Key{"partition": {Partition: "q"}, "page": {Partition: "p", Sort: "a"}} {
		t.Run(name, func(t *testing.T) {
			var reads atomic.Int32
			url := startRepeating(t, page("p", "a"), func(*http.Request) string {
				if reads.Add(1) == 1 {
					return page("p", "a")
				}
				return page(next.Partition, "b")
			})
			table, err := stores.NewTable(stores.TableOptions{Endpoint: endpoint(url), Name: "t", Retry: shortRetry})
			require.NoError(t, err)
			_, err = table.List(t.Context(), "p", "", 10)
			require.NoError(t, err)
			rows, err := table.List(t.Context(), next.Partition, next.Sort, 10)
			require.NoError(t, err)
			require.Len(t, rows, 1)
			require.Equal(t, stores.Key{Partition: next.Partition, Sort: "b"}, rows[0].Key)
		})
	}
}
