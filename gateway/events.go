package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"waxwingtide.example/waxwingtide/errs"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// event is a section of a stream that ends with an empty line, with its bytes
// as they came.
type event struct {
	text []byte
	id   string
}

// precedes reports whether the event comes before or is the one with an id.
// Ids that are not numbers are never skipped.
func (e event) precedes(id string) bool {
	last, err1 := strconv.ParseInt(id, 10, 64)
	own, err2 := strconv.ParseInt(e.id, 10, 64)
	return err1 == nil && err2 == nil && own <= last
}

// eventReader splits a stream into events.
type eventReader struct{ from *bufio.Reader }

func newEventReader(from *bufio.Reader) *eventReader { return &eventReader{from: from} }

// pending reports whether more bytes are at hand without waiting.
func (r *eventReader) pending() bool { return r.from.Buffered() > 0 }

// next returns the next event. The error is io.EOF when the stream has ended;
// bytes after the last empty line come with it.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.from.ReadSlice('\n')
		e.text = append(e.text, line...)
		if len(e.text) > maxEventBytes {
			return event{}, errs.New(errs.Corrupt, "report the upstream", "event exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return event{}, err
			}
			return e, io.EOF
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
		if len(trimmed) == 0 {
			return e, nil
		}
	}
}
