package gateway

import (
	"bufio"
	"bytes"
	"io"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

// remedyUnknown is the remedy for a response whose body is not that of the call.
const remedyUnknown = "do not resend a call that may run only once"

// receivedBody is the body of a response.
type receivedBody struct {
	body []byte
	// surplus contains the bytes that followed the response.
	surplus []byte
	// memory is charged for the response.
	memory *membudget.Account
}

// checkBody returns an error if the body of a response is incomplete or contains bytes of
// another response.
func checkBody(x *upstreamhttp.Exchange, response UpstreamResponse, received receivedBody) error {
	body := received.body
	switch {
	case x.HasKnownEnd():
		if isDisplaced(x, body, received.surplus) {
			return errs.New(errs.Corrupt, remedyUnknown, "body contains another response, which moves its end out of its length")
		}
	case len(body) == 0 && response.Success():
		return errs.New(errs.Corrupt, remedyUnknown, "connection ended after the head of a response without a length")
	case containsHead(body):
		return errs.New(errs.Corrupt, remedyUnknown, "body without a length contains another response")
	case upstreamhttp.IsJSON(x.Response.Header):
		return checkJSONEnd(received)
	}
	return nil
}

// jsonCheckFactor is the number of bytes that are charged for a byte of a body while its
// JSON values are separated: the decoder copies a value twice, with room for growth.
const jsonCheckFactor = 3

// checkJSONEnd returns an error if a sequence of JSON values was cut, or if there is no
// memory to find that out.
func checkJSONEnd(received receivedBody) error {
	checkBytes := int64(jsonCheckFactor * len(received.body))
	if err := received.memory.Charge(checkBytes); err != nil {
		return err
	}
	defer received.memory.Release(checkBytes)
	if upstreamhttp.EndsInsideJSON(received.body) {
		return errs.New(errs.Corrupt, remedyUnknown, "connection ended inside a JSON value")
	}
	return nil
}

// isDisplaced reports whether a response that was written inside the body has moved the
// end of the body behind its stated length: of a body "served" with a length of 6, the
// client reads "seHTTP" and the surplus "/1.1 503 ...rved". Bytes that follow a whole body
// are no part of the response, and a body without such bytes may quote a status line.
func isDisplaced(x *upstreamhttp.Exchange, body, surplus []byte) bool {
	if x.Response.ContentLength < 0 || len(surplus) == 0 {
		return false
	}
	joined := io.MultiReader(bytes.NewReader(body), bytes.NewReader(surplus))
	at := upstreamhttp.FindStatusLineIn(bufio.NewReader(joined))
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
