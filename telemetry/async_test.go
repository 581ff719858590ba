package telemetry

import (
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against log lines that quote long bytes of faulty servers and exhaust the memory of
// the process while the output is slow.
func TestQueuedLinesAreBounded(t *testing.T) {
	const (
		memoryBytes = 16 << 20 // an eighth of the memory that a node may spend for control
		lineBytes   = 64 << 10
	)
	w := NewAsyncWriter(io.Discard)
	before := liveHeapBytes()
	line := []byte(strings.Repeat("x", lineBytes) + "\n")
	for range maxQueuedLines {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	// Slices of pointers and the ring need some bytes besides the lines.
	require.LessOrEqual(t, liveHeapBytes()-before, int64(memoryBytes+memoryBytes/16))
	runtime.KeepAlive(w)
}

// Guards against lines that lose their end when they are cut, so that the next line is taken
// as a part of them, and against short lines that are changed.
func TestLongLinesAreCut(t *testing.T) {
	var out strings.Builder
	w := NewAsyncWriter(&out)
	_, _ = w.Write([]byte("event=a error=" + strings.Repeat("x", 1<<20) + "\n"))
	_, _ = w.Write([]byte("event=b\n"))
	w.Flush()
	lines := strings.Split(out.String(), "\n")
	require.Len(t, lines, 3)
	require.True(t, strings.HasPrefix(lines[0], "event=a error=xxx"))
	require.Less(t, len(lines[0]), 4<<10)
	require.Equal(t, "event=b", lines[1])
}

// liveHeapBytes returns the memory of the objects that are in use.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
