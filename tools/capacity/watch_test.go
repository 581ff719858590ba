package main

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

// publisher sends states as fast as they are read when flood is set, and
// otherwise one state.
type publisher struct {
	wire.DRPCAgentUnimplementedServer
	flood bool
}

func (p *publisher) Watch(_ *wire.WatchRequest, out wire.DRPCAgent_WatchStream) error {
	for {
		if err := out.Send(watchState(0)); err != nil {
			return err
		}
		if !p.flood {
			<-out.Context().Done()
			return nil
		}
	}
}

// openWatches opens watch streams over TCP on loopback and reads one state of
// each.
func openWatches(b *testing.B, n int, flood bool) []wire.DRPCAgent_WatchClient {
	mux := drpcmux.New()
	require.NoError(b, wire.DRPCRegisterAgent(mux, &publisher{flood: flood}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- transport.Serve(ctx, listener, nil, mux) }()
	dialer := transport.NewDialer(nil, nil)
	b.Cleanup(func() {
		cancel()
		_ = dialer.Close()
		require.NoError(b, <-served)
	})
	streams := make([]wire.DRPCAgent_WatchClient, n)
	for i := range streams {
		streams[i], err = wire.NewDRPCAgentClient(dialer.Dial(ctx, listener.Addr().String())).Watch(ctx, &wire.WatchRequest{})
		require.NoError(b, err)
		_, err = streams[i].Recv()
		require.NoError(b, err)
	}
	return streams
}

// BenchmarkWatchStreamHeap measures the memory of open watch streams, both
// sides together, stacks included.
func BenchmarkWatchStreamHeap(b *testing.B) {
	const streams = 300
	inUse := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	before := inUse()
	opened := openWatches(b, streams, false)
	b.ReportMetric((inUse()-before)/streams, "B/unit")
	runtime.KeepAlive(opened)
}

// BenchmarkWatchStream measures the processor time of one state from sender to
// receiver, both sides together. The sender does not wait, so several states
// may share a system call; a state that comes alone costs more.
func BenchmarkWatchStream(b *testing.B) {
	stream := openWatches(b, 1, true)[0]
	cpu := processorTime()
	for b.Loop() {
		_, err := stream.Recv()
		require.NoError(b, err)
	}
	b.ReportMetric(float64(processorTime()-cpu)/float64(b.N), "cpu-ns/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
