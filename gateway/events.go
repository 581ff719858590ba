package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxEventIDBytes is the maximum size of the id of an event. It is kept while the
	// following events are received, and sent in a header when the stream is resumed.
	maxEventIDBytes = 1 << 10
)

// event is a section of a stream. Each section ends with an empty line. text contains
// its bytes unchanged until the next event is read.
type event struct {
	text []byte
	id   string
	// complete is set when the section ends with an empty line.
	complete bool
	// hasFields is set when the section has lines that are no comments.
	hasFields bool
}

// isPartial reports whether the section has text and does not end with an empty line.
func (e event) isPartial() bool {
	return len(bytes.TrimRight(e.text, "\r\n")) > 0 && !e.complete
}

// containsResponse reports whether the section contains the head of a response. The head
// may continue a line of an event that was cut. The data of an event may contain a status
// line as well, but is not followed by a header.
func (e event) containsResponse() bool {
	afterStatusLine := false
	for line := range bytes.Lines(e.text) {
		at := upstreamhttp.FindStatusLine(line)
		if at == 0 || afterStatusLine && isHeader(line) {
			return true
		}
		afterStatusLine = at > 0
	}
	return false
}

// isHeader reports whether a line is a header of a response and not a comment, a field of
// an event or other text with a colon.
func isHeader(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "data", "event", "id", "retry":
		return false
	}
	return found && !bytes.ContainsFunc(name, isNoNameCharacter)
}

// isNoNameCharacter reports whether a character cannot be part of the name of a header,
// which is a token according to RFC 9110.
func isNoNameCharacter(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}

// isAfter reports whether the event follows the one with the given id. Ids are increasing
// numbers; if that of the earlier event is none, the order is unknown, and any other id is
// accepted.
func (e event) isAfter(id string) bool {
	last, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return e.id != id
	}
	current, err := strconv.ParseInt(e.id, 10, 64)
	return err == nil && current > last
}

// eventReader splits a stream into events.
type eventReader struct {
	source *bufio.Reader
	text   *membudget.Buffer
}

// newEventReader returns a reader that charges the memory of the events to an account.
func newEventReader(source *bufio.Reader, memory *membudget.Account) *eventReader {
	return &eventReader{source: source, text: membudget.NewBuffer(memory, -1)}
}

// hasBuffered reports whether more bytes can be read without blocking.
func (r *eventReader) hasBuffered() bool { return r.source.Buffered() > 0 }

// next returns the next event. The error is io.EOF at the end of the stream; the
// event then contains the bytes after the last empty line.
func (r *eventReader) next() (event, error) {
	var e event
	lineStart := 0
	r.text.Reset()
	for {
		part, err := r.source.ReadSlice('\n')
		if chargeErr := r.text.Append(part); chargeErr != nil {
			return event{}, chargeErr
		}
		e.text = r.text.Bytes()
		if len(e.text) > maxEventBytes {
			return event{}, errs.New(errs.Corrupt, "report this as a defect of the upstream", "event exceeds %d bytes", maxEventBytes)
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
		trimmed := bytes.TrimRight(e.text[lineStart:], "\r\n")
		lineStart = len(e.text)
		if value, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			if len(value) > maxEventIDBytes {
				return event{}, errs.New(errs.Corrupt, "report this as a defect of the upstream", "id of an event exceeds %d bytes", maxEventIDBytes)
			}
			e.id = string(bytes.TrimSpace(value))
		}
		if len(trimmed) == 0 {
			e.complete = true
			return e, nil
		}
		e.hasFields = e.hasFields || trimmed[0] != ':'
	}
}
