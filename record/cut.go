package record

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/errs"
)

const cutRemedy = "ask again with the same key"

// checkComplete returns an error of kind Unknown if a body is known to be cut. A body
// without a known end ends with its connection, and the end of a failed service looks like
// that of a complete response.
func checkComplete(response *http.Response, body []byte) error {
	switch {
	case hasKnownEnd(response):
		return nil
	case len(body) == 0:
		return errs.New(errs.Unknown, cutRemedy, "connection of the service ended after the head of an answer without a length")
	case isJSON(response.Header) && endsInsideValue(body):
		return errs.New(errs.Unknown, cutRemedy, "connection of the service ended inside a JSON value")
	}
	return nil
}

// hasKnownEnd reports whether a response states its length or is sent in chunks. A
// response without a body, such as that to a HEAD request, is complete with its head.
func hasKnownEnd(r *http.Response) bool {
	isHead := r.Request.Method == http.MethodHead
	return isHead || r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// isJSON reports whether the stated type of a response is JSON or based on it.
func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}

// endsInsideValue reports whether a sequence of JSON values was cut. A text that is no
// JSON was not.
func endsInsideValue(body []byte) bool {
	values := json.NewDecoder(bytes.NewReader(body))
	for {
		var value json.RawMessage
		if err := values.Decode(&value); err != nil {
			return errors.Is(err, io.ErrUnexpectedEOF)
		}
	}
}
