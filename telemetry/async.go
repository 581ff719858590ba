package telemetry

import (
	"context"
	"fmt"
	"io"

	"waxwingtide.example/waxwingtide/ring"
)

// asyncLines bounds the log lines that wait to be written.
const asyncLines = 4096

// AsyncWriter hands log lines to a duty that writes them, so that logging
// never blocks its callers. Lines that find no room are dropped and counted.
type AsyncWriter struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
}

// NewAsyncWriter returns a writer whose duty is Run.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{lines: ring.New[[]byte](asyncLines), out: out}
}

// Write queues one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.lines.Push(append([]byte(nil), line...))
	return len(line), nil
}

// Run writes lines until the context ends, and then those that still wait.
func (w *AsyncWriter) Run(ctx context.Context) error {
	var told uint64
	for {
		line, err := w.lines.Receive(ctx)
		if err != nil {
			w.Flush()
			return nil
		}
		w.write(line)
		if dropped := w.lines.Dropped(); dropped > told {
			w.write(fmt.Appendf(nil, "level=warning event=log_dropped lines=%d total=%d\n", dropped-told, dropped))
			told = dropped
		}
	}
}

// Flush writes the lines that wait.
func (w *AsyncWriter) Flush() {
	for line, ok := w.lines.TryReceive(); ok; line, ok = w.lines.TryReceive() {
		w.write(line)
	}
}

// write has nobody to tell of a failure: standard output is the log.
func (w *AsyncWriter) write(line []byte) { _, _ = w.out.Write(line) }
