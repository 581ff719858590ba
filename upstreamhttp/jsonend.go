package upstreamhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
)

// IsJSON reports whether the stated type of a response is JSON or based on it.
func IsJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}

// EndsInsideJSON reports whether a sequence of JSON values was cut. A text that is no JSON
// was not.
func EndsInsideJSON(body []byte) bool {
	values := json.NewDecoder(bytes.NewReader(body))
	for {
		var value json.RawMessage
		if err := values.Decode(&value); err != nil {
			return errors.Is(err, io.ErrUnexpectedEOF)
		}
	}
}
