package record_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

// dependencies are stand-in servers for the table, the object store and the service.
type dependencies struct {
	table   *standin.Table
	objects *standin.Objects
	records *standin.Records
	urls    [3]string // of the table, the object store and the service, in this sequence
}

func newDependencies(tb testing.TB) *dependencies {
	deps := &dependencies{table: standin.NewTable(), objects: standin.NewObjects(), records: standin.NewRecords()}
	for i, h := range []http.Handler{deps.table, deps.objects, deps.records} {
		server := httptest.NewServer(h)
		tb.Cleanup(server.Close)
		deps.urls[i] = server.URL
	}
	return deps
}

func (deps *dependencies) startExecutor(tb testing.TB, incarnation core.Incarnation) (*record.Executor, func()) {
	table, err := stores.NewTable(stores.TableOptions{Endpoint: stores.Endpoint{URL: deps.urls[0], AccessKey: "a", SecretKey: "s"}, Name: "t"})
	require.NoError(tb, err)
	objects, err := stores.NewObjectStore(stores.ObjectStoreOptions{Endpoint: stores.Endpoint{URL: deps.urls[1], AccessKey: "a", SecretKey: "s"}, Bucket: "b"})
	require.NoError(tb, err)
	service, err := record.NewServiceClient(deps.urls[2])
	require.NoError(tb, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	executor, err := record.NewExecutor(record.ExecutorOptions{
		Upstream: "r1", Incarnation: incarnation, Service: service, Table: table, Objects: objects, Log: log,
	})
	require.NoError(tb, err)
	group := duty.NewGroup(context.Background(), log)
	executor.Start(group)
	return executor, func() {
		require.NoError(tb, executor.Drain(context.Background()))
		group.Stop()
		require.NoError(tb, group.Wait())
	}
}

func lotRequest(attempt, key, body string) *wire.CallRequest {
	return &wire.CallRequest{
		Attempt: attempt, Upstream: "r1", Workspace: "w", Service: "records",
		Method: http.MethodPost, Path: "/lots", Body: []byte(body), IdempotencyKey: key,
	}
}

// Guards against code that works with in-memory fakes but not with the protocols of
// the table, the object store and the service. A call is replayed by the next
// incarnation of the agent, with a response body in the row or in the object store.
func TestReplayOverLoopback(t *testing.T) {
	for name, padding := range map[string]int{"row": 0, "object": 2 * record.MaxInlineBytes} {
		t.Run(name, func(t *testing.T) {
			deps := newDependencies(t)
			deps.records.SetPadding(padding)
			executor, stop := deps.startExecutor(t, 1)
			first := executor.Call(t.Context(), lotRequest("a1", "k", "lot 7"))
			require.Equal(t, wire.Outcome_OUTCOME_FINISHED, first.GetOutcome(), first.GetDetail())
			require.EqualValues(t, http.StatusCreated, first.GetStatus())
			stop()

			executor, stop = deps.startExecutor(t, 2)
			defer stop()
			replay := executor.Call(t.Context(), lotRequest("a2", "k", "lot 7"))
			require.Equal(t, wire.Outcome_OUTCOME_FINISHED, replay.GetOutcome(), replay.GetDetail())
			require.True(t, replay.GetReplayed())
			require.Equal(t, first.GetBody(), replay.GetBody())
			require.Equal(t, first.GetContentType(), replay.GetContentType())
			mismatch := executor.Call(t.Context(), lotRequest("a3", "k", "lot 8"))
			require.EqualValues(t, http.StatusUnprocessableEntity, mismatch.GetStatus())
			require.Len(t, deps.records.Executions("w", "k"), 1)
		})
	}
}

// BenchmarkAtMostOnce measures calls through an executor with 1, 16 and 128
// concurrent callers. The table has a latency of 5 ms.
func BenchmarkAtMostOnce(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			deps := newDependencies(b)
			deps.table.SetDelay(5 * time.Millisecond)
			executor, stop := deps.startExecutor(b, 1)
			defer stop()
			var next atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			done := make(chan struct{})
			for range callers {
				go func() {
					defer func() { done <- struct{}{} }()
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						id := fmt.Sprint(n)
						reply := executor.Call(context.Background(), lotRequest(id, id, strings.Repeat("x", 200)))
						if reply.GetOutcome() != wire.Outcome_OUTCOME_FINISHED {
							b.Error(reply.GetDetail())
						}
					}
				}()
			}
			for range callers {
				<-done
			}
			b.ReportMetric(float64(deps.table.Requests())/float64(b.N), "transactions/call")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
