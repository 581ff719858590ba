package gateway

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
				events := newEventReader(bufio.NewReaderSize(strings.NewReader(text), buffer))
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
