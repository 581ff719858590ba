package stores

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/errs"
)

const (
	dialTimeout = time.Second
	// idleConnections covers the duties of one process that use a service at
	// the same time.
	idleConnections = 16
)

// Endpoint says where a service of the platform is and how to sign requests.
type Endpoint struct {
	// URL is the base address, for example "http://127.0.0.1:8000".
	URL string
	// Region is part of the request signature; default "local".
	Region string
	// AccessKey and SecretKey sign the requests.
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

func checkURL(text, service string) error {
	u, err := url.Parse(text)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "give a URL such as http://127.0.0.1:8000", "address of the %s", service)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errs.New(errs.Invalid, "give a URL such as http://127.0.0.1:8000", "address %q of the %s is not an HTTP URL", text, service)
	}
	return nil
}

// newHTTPClient returns a client that uses no proxy from the environment and
// follows no redirects.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// notSent reports whether the request failed before a connection existed, so
// that it cannot have taken effect.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
