package gateway

import (
	"hash/maphash"
	"mime"
	"net/http"

	"waxwingtide.example/waxwingtide/errs"
)

const (
	contentTypeEvents = "text/event-stream"
	remedyResume      = "resume the stream at another upstream"
)

// canContinueStream reports whether the response may contain the remaining events of a
// stream whose beginning the caller has received. A response that states no type may.
func canContinueStream(resp *http.Response) bool {
	stated := resp.Header.Get("Content-Type")
	if resp.StatusCode != http.StatusOK || stated == "" {
		return resp.StatusCode == http.StatusOK
	}
	mediaType, _, err := mime.ParseMediaType(stated)
	return err == nil && mediaType == contentTypeEvents
}

// continuation checks the events of a response that resumes a stream. The caller takes
// them as the continuation of what it has received, so they must be that: a run that
// starts again may differ from the first one, and an error text is no event.
type continuation struct {
	// resumed is set when the response resumes a stream.
	resumed bool
	// continued is set when an event has followed those that the caller had received.
	continued bool
	// repeated is set when the response began with the last event that the caller has.
	repeated bool
}

// eventDigest identifies the bytes of an event. It is kept instead of them, since an event
// may be large. It is 0 if there is no event.
type eventDigest uint64

var digestSeed = maphash.MakeSeed()

// digest returns the digest of the event's bytes.
func (e event) digest() eventDigest { return eventDigest(maphash.Bytes(digestSeed, e.text)) }

// isRepetition reports whether the response begins with the last event that the caller has
// received, byte for byte. An upstream may resume at the last event instead of behind it;
// the event is then skipped, and those behind it continue the same run. last is 0 if that
// event was the first one.
func (c *continuation) isRepetition(e event, last eventDigest) bool {
	if !c.resumed || c.continued || c.repeated || e.id == "" || last == 0 || e.digest() != last {
		return false
	}
	c.repeated = true
	return true
}

// onlyRepeated reports whether the response repeated the last event and did not continue
// the stream.
func (c *continuation) onlyRepeated() bool { return c.repeated && !c.continued }

// check returns an error if the event does not follow the one with the id lastID.
func (c *continuation) check(e event, lastID string) error {
	if !c.resumed || !e.hasFields {
		return nil
	}
	if e.id == "" && c.continued {
		return nil // a section without an id behind an event that continues the stream
	}
	if e.id == "" || !e.isAfter(lastID) {
		return errs.New(errs.Corrupt, remedyResume, "event with the id %q does not continue a stream after %q", e.id, lastID)
	}
	c.continued = true
	return nil
}
