package gateway

import (
	"bytes"
	"slices"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

// remedyUnknown is the remedy for a response whose body is not that of the call.
const remedyUnknown = "do not resend a call that may run only once"

// checkBody returns an error if the body of a response is incomplete or contains bytes of
// another response. surplus contains the bytes that followed the response.
func checkBody(x *upstreamhttp.Exchange, response UpstreamResponse, body, surplus []byte) error {
	switch {
	case x.HasKnownEnd():
		if isDisplaced(x, body, surplus) {
			return errs.New(errs.Corrupt, remedyUnknown, "body contains another response, which moves its end out of its length")
		}
	case len(body) == 0 && response.Success():
		return errs.New(errs.Corrupt, remedyUnknown, "connection ended after the head of a response without a length")
	case containsHead(body):
		return errs.New(errs.Corrupt, remedyUnknown, "body without a length contains another response")
	}
	return nil
}

// isDisplaced reports whether a response that was written inside the body has moved the
// end of the body behind its stated length. Bytes that follow a whole body are no part of
// the response, and a body without such bytes may quote a status line.
func isDisplaced(x *upstreamhttp.Exchange, body, surplus []byte) bool {
	if x.Response.ContentLength < 0 || len(surplus) == 0 {
		return false
	}
	at := upstreamhttp.FindStatusLine(slices.Concat(body, surplus))
	return at >= 0 && at < len(body)
}

// containsHead reports whether a text contains a status line that is directly followed by
// a header.
func containsHead(text []byte) bool {
	afterStatusLine := false
	for line := range bytes.Lines(text) {
		if afterStatusLine && isHeader(line) {
			return true
		}
		afterStatusLine = upstreamhttp.FindStatusLine(line) >= 0
	}
	return false
}
