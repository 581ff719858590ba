package upstreamhttp

import (
	"bytes"
	"io"
	"net/http"
	"regexp"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
)

const (
	// parsedBytesFactor is the number of bytes that are charged for a byte of a head, which
	// is held as received and as the text of a parsed header.
	parsedBytesFactor = 2
	// parsedLineBytes is the number of bytes that are charged for each line of a head: the
	// entry of a map, a slice and the headers of two strings.
	parsedLineBytes = 128
)

// headMeter charges the memory of a parsed head while its bytes are received.
type headMeter struct {
	memory *membudget.Account
	// lineHasText is set when the current line is not empty.
	lineHasText bool
	// ended is set behind the empty line that ends the head.
	ended bool
}

// add charges the bytes that belong to the head.
func (m *headMeter) add(received []byte) error {
	size, lines := 0, 0
	for line := range bytes.Lines(received) {
		if m.ended {
			break
		}
		size += len(line)
		m.lineHasText = m.lineHasText || len(bytes.TrimRight(line, "\r\n")) > 0
		if line[len(line)-1] == '\n' {
			lines++
			m.ended, m.lineHasText = !m.lineHasText, false
		}
	}
	if size == 0 {
		return nil
	}
	return m.memory.Charge(int64(parsedBytesFactor*size + parsedLineBytes*lines))
}

// statusLine matches the beginning of the status line of a response.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d +\d{3}`)

// FindStatusLine returns the index of the first status line of a response in a line, or a
// negative number if there is none.
func FindStatusLine(line []byte) int {
	at := statusLine.FindIndex(line)
	if at == nil {
		return -1
	}
	return at[0]
}

// FindStatusLineIn returns the index of the first status line of a text that is read, or a
// negative number if there is none.
func FindStatusLineIn(text io.RuneReader) int {
	at := statusLine.FindReaderIndex(text)
	if at == nil {
		return -1
	}
	return at[0]
}

// readHead reads status and headers of the next response. It charges their memory.
func (c *Conn) readHead(req *http.Request, memory *membudget.Account) (*http.Response, error) {
	c.readingHead, c.headBytes, c.head = true, maxHeadBytes, headMeter{memory: memory}
	defer func() { c.readingHead, c.head = false, headMeter{} }()
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // does not read, so it cannot fail
	if err := c.head.add(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	return resp, checkSingleHead(resp)
}

// statusCode matches the statuses of HTTP. net/http accepts other numbers of three
// characters, such as 000, 999 and +20.
var statusCode = regexp.MustCompile(`^[1-5]\d\d( |$)`)

// checkStatus returns an error if the status is none of HTTP or changes the protocol, which
// no request asks for.
func checkStatus(resp *http.Response) error {
	if !statusCode.MatchString(resp.Status) || resp.StatusCode == http.StatusSwitchingProtocols {
		return errs.New(errs.Corrupt, "report this as a defect of the upstream", "response has the status %.20q", resp.Status)
	}
	return nil
}

// checkSingleHead returns an error if the head is joined from those of two responses.
// When a faulty upstream writes an extra response that ends inside a line, the status
// line of the next response becomes a part of that line, and the headers of both
// responses appear as one head: that of a refusal may then have the id of a request that
// has run.
func checkSingleHead(resp *http.Response) error {
	joined := statusLine.MatchString(resp.Status)
	for _, values := range resp.Header {
		for _, value := range values {
			joined = joined || statusLine.MatchString(value)
		}
	}
	if joined {
		return errs.New(errs.Corrupt, "report this as a defect of the upstream", "head of a response contains a second status line")
	}
	return nil
}
