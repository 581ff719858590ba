package stores

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
)

const (
	dialTimeout = time.Second
	// maxIdleConnectionsPerHost is sufficient for the duties of one process that use a
	// service at the same time.
	maxIdleConnectionsPerHost = 16
	// maxErrorBytes is the maximum size in bytes of the body of a response that reports
	// an error. The libraries of the services keep it in their error texts.
	maxErrorBytes = 64 << 10
)

// Endpoint contains the address of a platform service and the credentials that
// sign the requests.
type Endpoint struct {
	// URL is the base address, for example "http://127.0.0.1:8000".
	URL string
	// Region is included in the request signature. The default is "local".
	Region string
	// AccessKey and SecretKey are the credentials.
	AccessKey string
	SecretKey string
}

const defaultRegion = "local"

func (e Endpoint) region() string {
	if e.Region == "" {
		return defaultRegion
	}
	return e.Region
}

func checkURL(address, service string) error {
	u, err := url.Parse(address)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "specify a URL such as http://127.0.0.1:8000", "address of the %s is not a URL", service)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errs.New(errs.Invalid, "specify a URL such as http://127.0.0.1:8000", "address %q of the %s is not an HTTP URL", address, service)
	}
	return nil
}

// newHTTPClient returns a client that ignores the proxy settings of the environment
// and does not follow redirects.
// It accepts bodies of up to maxBytes bytes, and of up to maxErrorBytes bytes of
// responses that report an error.
func newHTTPClient(maxBytes int64) *http.Client {
	return newClientWith(newTransport(), maxBytes)
}

// newSingleHTTPClient is newHTTPClient with a connection for each request.
func newSingleHTTPClient(maxBytes int64) *http.Client {
	transport := newTransport()
	transport.DisableKeepAlives = true
	return newClientWith(transport, maxBytes)
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            httplimit.ReportResets(dialer.DialContext),
		MaxIdleConnsPerHost:    maxIdleConnectionsPerHost,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
	}
}

func newClientWith(transport *http.Transport, maxBytes int64) *http.Client {
	return &http.Client{
		Transport:     httplimit.LimitBodies(transport, httplimit.BodyLimits{MaxBytes: maxBytes, MaxErrorBytes: maxErrorBytes}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// connectFailed reports whether the request failed while the connection was opened.
// The request was not sent and cannot have taken effect.
func connectFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
