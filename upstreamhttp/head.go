package upstreamhttp

import (
	"net/http"
	"regexp"

	"waxwingtide.example/waxwingtide/errs"
)

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

// readHead reads status and headers of the next response.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	c.readingHead, c.headBytes = true, maxHeadBytes
	defer func() { c.readingHead = false }()
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	return resp, checkSingleHead(resp)
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
