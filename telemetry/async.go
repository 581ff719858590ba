package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"waxwingtide.example/waxwingtide/ring"
)

const (
	// maxQueuedLines is the capacity of the ring of an AsyncWriter.
	maxQueuedLines = 4096
	// maxLineBytes is the maximum size of a line. Longer ones are cut: the text of an error
	// may quote what a faulty server has sent.
	maxLineBytes = 4 << 10
)

// AsyncWriter queues log lines in a ring for a duty that writes them, so that a
// slow output does not block the callers of the logger. If the ring is full, the
// oldest line is dropped and counted.
type AsyncWriter struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
}

// NewAsyncWriter returns a writer to out. Lines are written only while its duty,
// Run, is running, and by Flush.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{lines: ring.New[[]byte](maxQueuedLines), out: out}
}

// Write queues a copy of one line, up to maxLineBytes.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	queued := bytes.Clone(line[:min(len(line), maxLineBytes)])
	if len(line) > maxLineBytes {
		queued[maxLineBytes-1] = '\n'
	}
	w.lines.Push(queued)
	return len(line), nil
}

// Run writes queued lines until the context ends, then the remaining ones. It
// reports dropped lines in a log line after the next line that it writes.
func (w *AsyncWriter) Run(ctx context.Context) error {
	var reportedDrops uint64
	for {
		line, err := w.lines.Receive(ctx)
		if err != nil {
			w.Flush()
			return nil
		}
		w.writeLine(line)
		if dropped := w.lines.Dropped(); dropped > reportedDrops {
			w.writeLine(fmt.Appendf(nil, "level=warning event=log_dropped lines=%d total=%d\n", dropped-reportedDrops, dropped))
			reportedDrops = dropped
		}
	}
}

// Flush writes all queued lines.
func (w *AsyncWriter) Flush() {
	for line, ok := w.lines.TryReceive(); ok; line, ok = w.lines.TryReceive() {
		w.writeLine(line)
	}
}

// writeLine ignores write errors, because there is no other output to report them
// to: standard output is the log.
func (w *AsyncWriter) writeLine(line []byte) { _, _ = w.out.Write(line) }
