package httplimit

import (
	"io"
	"net/http"

	"waxwingtide.example/waxwingtide/errs"
)

// BodyLimits contains the maximum sizes of bodies in bytes.
type BodyLimits struct {
	// MaxBytes applies to responses with a status below 300, MaxErrorBytes to others.
	MaxBytes, MaxErrorBytes int64
}

// LimitBodies returns a transport that limits the bodies of the responses and has the checks
// of Do, for clients whose libraries read them to their end.
func LimitBodies(transport *http.Transport, limits BodyLimits) http.RoundTripper {
	return &bodyLimiter{Transport: transport, limits: limits}
}

// bodyLimiter embeds the transport for its other methods, such as CloseIdleConnections.
type bodyLimiter struct {
	*http.Transport
	limits BodyLimits
}

// RoundTrip implements http.RoundTripper.
func (l *bodyLimiter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := checked(r, l.Transport.RoundTrip)
	if err != nil {
		return nil, err
	}
	limit := l.limits.MaxBytes
	if response.StatusCode >= http.StatusMultipleChoices {
		limit = l.limits.MaxErrorBytes
	}
	response.Body = LimitBody(response.Body, limit)
	return response, nil
}

// LimitBody returns a body whose reads fail with an error of kind Corrupt after maxBytes
// bytes if more follow. Unlike io.LimitReader, it does not look complete then.
func LimitBody(body io.ReadCloser, maxBytes int64) io.ReadCloser {
	return &limitedBody{ReadCloser: body, maxBytes: maxBytes, left: maxBytes}
}

type limitedBody struct {
	io.ReadCloser
	// maxBytes is the limit, left what remains of it, both in bytes.
	maxBytes, left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, b.tooLarge()
	}
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n - 1, b.tooLarge()
	}
	return n, err
}

func (b *limitedBody) tooLarge() error {
	return errs.New(errs.Corrupt, "check the server that sent the response", "body of the response exceeds %d bytes", b.maxBytes)
}
