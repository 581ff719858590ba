package servicecall_test

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
	"waxwingtide.example/waxwingtide/servicecall"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

// services are the stand-ins that an agent needs.
type services struct {
	table   *standin.Table
	objects *standin.Objects
	records *standin.Records
	urls    [3]string
}

func newServices(tb testing.TB) *services {
	s := &services{table: standin.NewTable(), objects: standin.NewObjects(), records: standin.NewRecords()}
	for i, h := range []http.Handler{s.table, s.objects, s.records} {
		server := httptest.NewServer(h)
		tb.Cleanup(server.Close)
		s.urls[i] = server.URL
	}
	return s
}

func (s *services) executor(tb testing.TB, incarnation core.Incarnation) (*servicecall.Executor, func()) {
	table, err := stores.NewTable(stores.TableOptions{Endpoint: stores.Endpoint{URL: s.urls[0], AccessKey: "a", SecretKey: "s"}, Name: "t"})
	require.NoError(tb, err)
	objects, err := stores.NewObjects(stores.ObjectsOptions{Endpoint: stores.Endpoint{URL: s.urls[1], AccessKey: "a", SecretKey: "s"}, Bucket: "b"})
	require.NoError(tb, err)
	service, err := servicecall.NewServiceClient(s.urls[2])
	require.NoError(tb, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	executor, err := servicecall.NewExecutor(servicecall.ExecutorOptions{
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

func bookRequest(attempt, key, body string) *wire.CallRequest {
	return &wire.CallRequest{
		Attempt: attempt, Upstream: "r1", Workspace: "w", Service: "records",
		Method: http.MethodPost, Path: "/lots", Body: []byte(body), IdempotencyKey: key,
	}
}

// Guards against parts that work with fakes and not with the protocols: a call
// and its replay by the next incarnation, with small and large answers.
func TestReplayOverLoopback(t *testing.T) {
	for name, padding := range map[string]int{"row": 0, "object": 2 * servicecall.MaxInlineBytes} {
		t.Run(name, func(t *testing.T) {
			s := newServices(t)
			s.records.SetPadding(padding)
			executor, stop := s.executor(t, 1)
			first := executor.Call(t.Context(), bookRequest("a1", "k", "lot 7"))
			require.Equal(t, wire.Outcome_OUTCOME_FINISHED, first.GetOutcome(), first.GetDetail())
			require.EqualValues(t, http.StatusCreated, first.GetStatus())
			stop()

			executor, stop = s.executor(t, 2)
			defer stop()
			again := executor.Call(t.Context(), bookRequest("a2", "k", "lot 7"))
			require.Equal(t, wire.Outcome_OUTCOME_FINISHED, again.GetOutcome(), again.GetDetail())
			require.True(t, again.GetReplayed())
			require.Equal(t, first.GetBody(), again.GetBody())
			require.Equal(t, first.GetContentType(), again.GetContentType())
			other := executor.Call(t.Context(), bookRequest("a3", "k", "lot 8"))
			require.EqualValues(t, http.StatusUnprocessableEntity, other.GetStatus())
			require.Len(t, s.records.Executions("w", "k"), 1)
		})
	}
}

// BenchmarkAtMostOnce measures calls through an agent against a table that
// takes 5 ms, with a number of callers at a time.
func BenchmarkAtMostOnce(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := newServices(b)
			s.table.SetDelay(5 * time.Millisecond)
			executor, stop := s.executor(b, 1)
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
						reply := executor.Call(context.Background(), bookRequest(id, id, strings.Repeat("x", 200)))
						if reply.GetOutcome() != wire.Outcome_OUTCOME_FINISHED {
							b.Error(reply.GetDetail())
						}
					}
				}()
			}
			for range callers {
				<-done
			}
			b.ReportMetric(float64(s.table.Requests())/float64(b.N), "transactions/call")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
