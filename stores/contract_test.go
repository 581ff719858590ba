package stores_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/stores"
)

// shortRetry allows three attempts with delays of about a microsecond.
var shortRetry = stores.RetryOptions{
	MaxAttempts: 3, InitialDelay: time.Microsecond, MaxDelay: time.Microsecond,
	RequestTimeout: time.Minute, Seed: 1,
}

func startServer(t *testing.T, h http.Handler) stores.Endpoint {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return stores.Endpoint{URL: server.URL, AccessKey: "test", SecretKey: "test"}
}

func newTable(t *testing.T) (*standin.Table, *stores.DynamoTable) {
	service := standin.NewTable()
	client, err := stores.NewTable(stores.TableOptions{
		Endpoint: startServer(t, service), Name: "t", Retry: shortRetry,
	})
	require.NoError(t, err)
	return service, client
}

func write(sortKey string, expectedVersion uint64, value string) stores.Write {
	key := stores.Key{Partition: "p", Sort: sortKey}
	return stores.Write{Key: key, ExpectedVersion: expectedVersion, Value: []byte(value)}
}

// Guards against a transaction that is applied incompletely, twice or although a row
// has changed, and against an error of a wrong kind.
func TestTableTransact(t *testing.T) {
	const noError = errs.Kind(0)
	// A broken connection ends before the request takes effect, but after it was sent.
	// An overloaded service rejects the request. A lost response follows the effect.
	cases := map[string]struct {
		setFault func(*standin.Switches)
		writes   []stores.Write
		want     errs.Kind
		value    string // of row "a" after the test; at the start it is "old" with version 1
		version  uint64
	}{
		"plain":                       {func(*standin.Switches) {}, []stores.Write{write("a", 1, "new")}, noError, "new", 2},
		"stale version":               {func(*standin.Switches) {}, []stores.Write{write("a", 7, "new")}, errs.Conflict, "old", 1},
		"row exists":                  {func(*standin.Switches) {}, []stores.Write{write("a", 0, "new")}, errs.Conflict, "old", 1},
		"all or none":                 {func(*standin.Switches) {}, []stores.Write{write("a", 1, "new"), write("b", 1, "new")}, errs.Conflict, "old", 1},
		"no writes":                   {func(*standin.Switches) {}, nil, errs.Invalid, "old", 1},
		"empty sort key":              {func(*standin.Switches) {}, []stores.Write{write("", 0, "new")}, errs.Invalid, "old", 1},
		"connection broken":           {func(s *standin.Switches) { s.Set(standin.Down) }, []stores.Write{write("a", 1, "new")}, errs.Unknown, "old", 1},
		"connection broken once":      {func(s *standin.Switches) { s.SetNext(1, standin.Down) }, []stores.Write{write("a", 1, "new")}, noError, "new", 2},
		"overloaded":                  {func(s *standin.Switches) { s.Set(standin.Refuse) }, []stores.Write{write("a", 1, "new")}, errs.Unavailable, "old", 1},
		"overloaded once":             {func(s *standin.Switches) { s.SetNext(1, standin.Refuse) }, []stores.Write{write("a", 1, "new")}, noError, "new", 2},
		"lost response once":          {func(s *standin.Switches) { s.SetNext(1, standin.LoseAnswer) }, []stores.Write{write("a", 1, "new")}, noError, "new", 2},
		"lost response and lost read": {func(s *standin.Switches) { s.SetNext(2, standin.LoseAnswer) }, []stores.Write{write("a", 1, "new")}, noError, "new", 2},
		"all responses lost":          {func(s *standin.Switches) { s.Set(standin.LoseAnswer) }, []stores.Write{write("a", 1, "new")}, errs.Unknown, "new", 2},
		"malformed once":              {func(s *standin.Switches) { s.SetNext(1, standin.Malformed) }, []stores.Write{write("a", 1, "new")}, noError, "new", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			service, table := newTable(t)
			require.NoError(t, table.Transact(t.Context(), "setup", []stores.Write{write("a", 0, "old")}))
			c.setFault(&service.Switches)
			err := table.Transact(t.Context(), "op", c.writes)
			if c.want == noError {
				require.NoError(t, err)
			} else {
				require.Equal(t, c.want, errs.KindOf(err), "%v", err)
			}
			service.Set(standin.NoFault)
			row, err := table.Get(t.Context(), stores.Key{Partition: "p", Sort: "a"})
			require.NoError(t, err)
			require.Equal(t, c.value, string(row.Value))
			require.Equal(t, c.version, row.Version)
		})
	}
}

// Guards against an operation that is applied twice when the caller repeats it after
// a lost response.
func TestTableRepeatedOperation(t *testing.T) {
	service, table := newTable(t)
	service.Set(standin.LoseAnswer)
	writes := []stores.Write{write("a", 0, "first")}
	require.Equal(t, errs.Unknown, errs.KindOf(table.Transact(t.Context(), "op", writes)))
	service.Set(standin.NoFault)
	require.NoError(t, table.Transact(t.Context(), "op", writes))
	require.Equal(t, errs.Conflict, errs.KindOf(table.Transact(t.Context(), "other", writes)))
}

// Guards against an operation that does not end when the table does not respond.
func TestTableTimeout(t *testing.T) {
	service := standin.NewTable()
	service.SetDelay(time.Hour)
	retry := shortRetry
	retry.RequestTimeout = 20 * time.Millisecond
	table, err := stores.NewTable(stores.TableOptions{Endpoint: startServer(t, service), Name: "t", Retry: retry})
	require.NoError(t, err)
	_, err = table.Get(t.Context(), stores.Key{Partition: "p", Sort: "a"})
	require.Equal(t, errs.Unavailable, errs.KindOf(err))
	err = table.Transact(t.Context(), "op", []stores.Write{write("a", 0, "v")})
	require.Equal(t, errs.Unknown, errs.KindOf(err))
}

// Guards against reads that report a missing row when the table is unavailable, and
// against lists that end after the first page.
func TestTableReads(t *testing.T) {
	service, table := newTable(t)
	for i := range 5 {
		var writes []stores.Write
		for j := range stores.MaxTransactionWrites {
			writes = append(writes, write(fmt.Sprintf("%03d", i*stores.MaxTransactionWrites+j), 0, "v"))
		}
		require.NoError(t, table.Transact(t.Context(), fmt.Sprint("op", i), writes))
	}
	rows, err := table.List(t.Context(), "p", "009", 1000)
	require.NoError(t, err)
	require.Len(t, rows, 240)
	require.Equal(t, "010", rows[0].Key.Sort)
	require.Equal(t, "249", rows[239].Key.Sort)
	rows, err = table.List(t.Context(), "p", "", 150)
	require.NoError(t, err)
	require.Len(t, rows, 150)

	missing := stores.Key{Partition: "p", Sort: "x"}
	row, err := table.Get(t.Context(), missing)
	require.NoError(t, err)
	require.Equal(t, stores.Row{Key: missing}, row)
	for _, fault := range []standin.Fault{standin.Down, standin.Refuse, standin.LoseAnswer, standin.Malformed} {
		service.Set(fault)
		_, err = table.Get(t.Context(), missing)
		require.Equal(t, errs.Unavailable, errs.KindOf(err), "%v", err)
		_, err = table.List(t.Context(), "p", "", 10)
		require.Equal(t, errs.Unavailable, errs.KindOf(err), "%v", err)
	}
}

// Guards against a client that exceeds its request budget for the table.
func TestTableRequestBudget(t *testing.T) {
	service := standin.NewTable()
	table, err := stores.NewTable(stores.TableOptions{
		Endpoint: startServer(t, service), Name: "t", Retry: shortRetry,
		RequestsPerSecond: 1e-9, Burst: 2,
	})
	require.NoError(t, err)
	key := stores.Key{Partition: "p", Sort: "a"}
	for range 2 {
		_, err = table.Get(t.Context(), key)
		require.NoError(t, err)
	}
	_, err = table.Get(t.Context(), key)
	require.Equal(t, errs.Exhausted, errs.KindOf(err))
	require.Equal(t, errs.Exhausted, errs.KindOf(table.Transact(t.Context(), "op", []stores.Write{write("a", 0, "v")})))
	require.Equal(t, 2, service.Requests())
}

// Guards against objects that are lost, truncated or reported as missing while the
// object store fails.
func TestObjectStore(t *testing.T) {
	cases := map[string]struct {
		setFault func(*standin.Switches)
		put, get errs.Kind
	}{
		"plain":                  {func(*standin.Switches) {}, 0, 0},
		"connection broken":      {func(s *standin.Switches) { s.Set(standin.Down) }, errs.Unavailable, errs.Unavailable},
		"connection broken once": {func(s *standin.Switches) { s.SetNext(1, standin.Down) }, 0, 0},
		"overloaded":             {func(s *standin.Switches) { s.Set(standin.Refuse) }, errs.Unavailable, errs.Unavailable},
		"overloaded once":        {func(s *standin.Switches) { s.SetNext(1, standin.Refuse) }, 0, 0},
		"response lost":          {func(s *standin.Switches) { s.Set(standin.LoseAnswer) }, errs.Unavailable, errs.Unavailable},
		"response lost once":     {func(s *standin.Switches) { s.SetNext(1, standin.LoseAnswer) }, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			service := standin.NewObjects()
			client, err := stores.NewObjectStore(stores.ObjectStoreOptions{
				Endpoint: startServer(t, service), Bucket: "b", Retry: shortRetry,
			})
			require.NoError(t, err)
			large := bytes.Repeat([]byte("ab"), 1<<20)
			require.NoError(t, client.Put(t.Context(), "dir/old name", large))
			_, err = client.Get(t.Context(), "dir/none")
			require.Equal(t, errs.NotFound, errs.KindOf(err))
			c.setFault(&service.Switches)
			requireKind(t, c.put, client.Put(t.Context(), "dir/new", []byte("x")))
			c.setFault(&service.Switches)
			body, err := client.Get(t.Context(), "dir/old name")
			requireKind(t, c.get, err)
			if c.get == 0 {
				require.Equal(t, large, body)
			}
		})
	}
}

func requireKind(t *testing.T, want errs.Kind, err error) {
	t.Helper()
	if want == 0 {
		require.NoError(t, err)
		return
	}
	require.Equal(t, want, errs.KindOf(err), "%v", err)
}

// Guards against an incomplete list that is accepted when the platform fails or sends
// malformed elements.
func TestVMLister(t *testing.T) {
	vms := []stores.VM{
		{Node: "e1", Role: "entry", FailureDomain: "fd1", State: stores.VMLive, Incarnation: 7, Address: "127.0.0.1:1"},
		{Node: "a1", Role: "agent", FailureDomain: "fd2", State: stores.VMLeaving, Incarnation: 1 << 62, Address: "127.0.0.1:2"},
	}
	listWithChangedVM := func(change func(*stores.VM)) []stores.VM {
		changed := vms[0]
		change(&changed)
		return []stores.VM{vms[1], changed}
	}
	cases := map[string]struct {
		list  []stores.VM
		fault standin.Fault
		want  errs.Kind
	}{
		"plain":             {vms, standin.NoFault, 0},
		"empty":             {[]stores.VM{}, standin.NoFault, 0},
		"connection broken": {vms, standin.Down, errs.Unavailable},
		"overloaded":        {vms, standin.Refuse, errs.Unavailable},
		"response lost":     {vms, standin.LoseAnswer, errs.Unavailable},
		"malformed":         {vms, standin.Malformed, errs.Corrupt},
		"no VM name":        {listWithChangedVM(func(v *stores.VM) { v.Node = "" }), standin.NoFault, errs.Corrupt},
		"unknown state":     {listWithChangedVM(func(v *stores.VM) { v.State = "gone" }), standin.NoFault, errs.Corrupt},
		"host name":         {listWithChangedVM(func(v *stores.VM) { v.Address = "localhost:1" }), standin.NoFault, errs.Corrupt},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			service := standin.NewMembers()
			lister, err := stores.NewVMLister(stores.VMListerOptions{URL: startServer(t, service).URL, Retry: shortRetry})
			require.NoError(t, err)
			service.SetList(c.list)
			service.Set(c.fault)
			got, err := lister.List(t.Context())
			requireKind(t, c.want, err)
			if c.want == 0 {
				require.Equal(t, c.list, got)
			}
		})
	}
}
