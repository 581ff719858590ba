package gateway

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/membudget"
)

// Guards against a line that is longer than the read buffer and is taken as several
// lines: its parts could look like an id or like the empty line that ends an event, so
// that a part of an event is forwarded as a complete one and the stream is resumed at
// the wrong position.
func TestLongLinesAreNotSplit(t *testing.T) {
	const buffer = 16 // the minimum of bufio
	for length := range 4 * buffer {
		line := "data: " + strings.Repeat("x", length)
		for _, end := range []string{"\n", "\r\n"} {
			for _, text := range []string{line + end + "id: 7" + end + end, "id: 7" + end + line + "id: 8" + end + end} {
				events := newEventReader(bufio.NewReaderSize(strings.NewReader(text), buffer), membudget.New("events", 1<<20).Open())
				e, err := events.next()
				require.NoError(t, err)
				require.Equal(t, text, string(e.text))
				require.Equal(t, "7", e.id)
				require.True(t, e.complete)
				_, err = events.next()
				require.ErrorIs(t, err, io.EOF)
			}
		}
	}
}

// Guards against events that are not forwarded because their data mention a status line.
func TestStatusLineInDataIsNoResponse(t *testing.T) {
	for _, text := range []string{
		"data: HTTP/1.1 200 OK\n\n", "id: 1\ndata: GET / gives HTTP/1.1 404 Not Found\ndata: Content-Length: 0\n\n",
		"data: HTTP/1.1 200 OK\r\nid: 2\r\n\r\n", "data: HTTP/1.1 200 OK\n: comment\nevent: x\nretry: 5\n\n",
		"Content-Length: 0\ndata: x\n\n",
	} {
		require.False(t, event{text: []byte(text)}.containsResponse(), text)
	}
}
