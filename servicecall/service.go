package servicecall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/errs"
)

// Headers sent to a plain service.
const (
	headerKey       = "Idempotency-Key"
	headerWorkspace = "Waxwingtide-Workspace"
	headerCaller    = "Waxwingtide-Caller"
	headerAttempt   = "X-Request-Id"
)

const (
	serviceDialTimeout = time.Second
	// maxAnswerBytes bounds the answer of a plain service, as callers' bodies
	// are bounded.
	maxAnswerBytes = 4 << 20
	// idleServiceConnections covers the idempotent calls of one upstream.
	idleServiceConnections = 64
)

// Service runs calls on the plain service beside the agent. Errors have the
// kinds Unavailable (the call was not handed over), Invalid (it cannot be
// expressed as a request, and was not handed over) and Unknown (it was handed
// over and the whole answer did not arrive).
type Service interface {
	Do(ctx context.Context, c *Call) (claim.Response, error)
}

// ServiceClient is a Service over HTTP.
type ServiceClient struct {
	base       *url.URL
	idempotent *http.Client
	once       *http.Client
}

var _ Service = (*ServiceClient)(nil)

// NewServiceClient returns a client of the service at a base URL. Errors:
// Invalid.
func NewServiceClient(baseURL string) (*ServiceClient, error) {
	base, err := url.Parse(baseURL)
	if err != nil || base.Host == "" || base.Scheme != "http" {
		return nil, errs.New(errs.Invalid, "give a URL such as http://127.0.0.1:9000", "address %q of the service", baseURL)
	}
	return &ServiceClient{
		base:       base,
		idempotent: newServiceHTTP(false),
		once:       newServiceHTTP(true),
	}, nil
}

// newServiceHTTP returns a client without proxy and redirects. The transport
// of net/http sends a request with an Idempotency-Key header again when a
// reused connection breaks, so calls that may run at most once get a new
// connection each.
func newServiceHTTP(once bool) *http.Client {
	dialer := &net.Dialer{Timeout: serviceDialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   once,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleServiceConnections,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do implements Service.
func (s *ServiceClient) Do(ctx context.Context, c *Call) (claim.Response, error) {
	req, err := s.request(ctx, c)
	if err != nil {
		return claim.Response{}, err
	}
	client := s.idempotent
	if c.AtMostOnce() {
		client = s.once
	}
	reply, err := client.Do(req)
	if err != nil {
		return claim.Response{}, serviceError(err)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err != nil {
		return claim.Response{}, errs.Wrap(err, errs.Unknown, "ask again with the same key", "answer of the service broke off")
	}
	if len(body) > maxAnswerBytes {
		return claim.Response{}, errs.New(errs.Unknown, "make the service's answer smaller", "answer of the service is larger than %d bytes", maxAnswerBytes)
	}
	return claim.Response{Status: reply.StatusCode, ContentType: reply.Header.Get("Content-Type"), Body: body}, nil
}

func (s *ServiceClient) request(ctx context.Context, c *Call) (*http.Request, error) {
	target := *s.base
	target.Path = strings.TrimSuffix(target.Path, "/") + c.Path
	target.RawPath = ""
	target.RawQuery = c.Query()
	req, err := http.NewRequestWithContext(ctx, c.Method, target.String(), bytes.NewReader(c.Body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "check the method and path", "request to the service")
	}
	if kind := c.ContentType(); kind != "" {
		req.Header.Set("Content-Type", kind)
	}
	if c.IdempotencyKey != "" {
		req.Header.Set(headerKey, c.IdempotencyKey)
	}
	req.Header.Set(headerWorkspace, string(c.Workspace))
	req.Header.Set(headerCaller, string(c.Caller))
	req.Header.Set(headerAttempt, string(c.Attempt))
	return req, nil
}

func serviceError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errs.Wrap(err, errs.Unavailable, "check that the service runs", "service cannot be reached")
	}
	return errs.Wrap(err, errs.Unknown, "ask again with the same key", "service gave no answer")
}
