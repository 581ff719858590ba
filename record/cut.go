package record

import (
	"net/http"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/upstreamhttp"
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
	case upstreamhttp.IsJSON(response.Header) && upstreamhttp.EndsInsideJSON(body):
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
