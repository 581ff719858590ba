package record

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
	"waxwingtide.example/waxwingtide/httplimit"
)

// Headers sent to a plain service.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerWorkspace      = "Waxwingtide-Workspace"
	headerCaller         = "Waxwingtide-Caller"
	headerAttempt        = "X-Request-Id"
)

const (
	serviceDialTimeout = time.Second
	// maxResponseBytes is the maximum size of a service's response body. It equals
	// the limit on request bodies of callers.
	maxResponseBytes = 4 << 20
	// maxLargeResponses is the maximum number of large responses that are read at a time.
	// Together they have at most 32 MiB, a quarter of what a node has for control.
	maxLargeResponses = 8
	// smallResponseBytes is the size up to which a response is not large. 1024 calls at a
	// time use 16 MiB for small responses.
	smallResponseBytes = 16 << 10
)

// ServiceInvoker sends calls to the plain service of the agent's upstream. An error has one
// of these kinds:
//   - Unavailable: the call was not sent.
//   - Invalid: the call cannot be expressed as an HTTP request and was not sent.
//   - Unknown: the call may have been sent, and no usable response was received.
type ServiceInvoker interface {
	Do(ctx context.Context, c *Call) (claim.Response, error)
}

// ServiceClient is a ServiceInvoker that sends calls over HTTP.
type ServiceClient struct {
	baseURL    *url.URL
	httpClient *http.Client
	large      *httplimit.LargeBodies
}

var _ ServiceInvoker = (*ServiceClient)(nil)

// NewServiceClient returns a client of the service at a base URL. It returns an error
// of kind Invalid if the URL is not an http URL with a host.
func NewServiceClient(baseURL string) (*ServiceClient, error) {
	base, err := url.Parse(baseURL)
	if err != nil || base.Host == "" || base.Scheme != "http" {
		return nil, errs.New(errs.Invalid, "give a URL such as http://127.0.0.1:9000", "address %q of the service is not an http URL with a host", baseURL)
	}
	large := httplimit.NewLargeBodies(maxLargeResponses, smallResponseBytes)
	return &ServiceClient{baseURL: base, httpClient: newHTTPClient(), large: large}, nil
}

// newHTTPClient returns a client that uses no proxy and follows no redirects. Each call
// uses a new connection. On a reused one, a service may send an earlier response once
// more, which is not distinguishable from the response to the call, and net/http resends
// a request that has an Idempotency-Key header if the connection breaks.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: serviceDialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            httplimit.ReportResets(dialer.DialContext),
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do implements ServiceInvoker.
func (s *ServiceClient) Do(ctx context.Context, c *Call) (claim.Response, error) {
	req, err := s.newRequest(ctx, c)
	if err != nil {
		return claim.Response{}, err
	}
	response, err := httplimit.Do(s.httpClient, req)
	if err != nil {
		return claim.Response{}, serviceError(err)
	}
	response.Body = s.large.Limit(ctx, response.Body)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return claim.Response{}, errs.Wrap(err, errs.Unknown, cutRemedy, "answer of the service broke off")
	}
	if len(body) > maxResponseBytes {
		return claim.Response{}, errs.New(errs.Unknown, "make the service's answer smaller", "answer of the service is larger than %d bytes", maxResponseBytes)
	}
	if err := checkComplete(response, body); err != nil {
		return claim.Response{}, err
	}
	return claim.Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

func (s *ServiceClient) newRequest(ctx context.Context, c *Call) (*http.Request, error) {
	targetURL := *s.baseURL
	targetURL.Path = strings.TrimSuffix(targetURL.Path, "/") + c.Path
	targetURL.RawPath = ""
	targetURL.RawQuery = c.Query()
	req, err := http.NewRequestWithContext(ctx, c.Method, targetURL.String(), bytes.NewReader(c.Body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "check the method and path", "request to the service")
	}
	if contentType := c.ContentType(); contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	if c.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, c.IdempotencyKey)
	}
	req.Header.Set(headerWorkspace, string(c.Workspace))
	req.Header.Set(headerCaller, string(c.Caller))
	req.Header.Set(headerAttempt, string(c.Attempt))
	return req, nil
}

func serviceError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errs.Wrap(err, errs.Unavailable, "check that the service runs", "service cannot be reached")
	}
	return errs.Wrap(err, errs.Unknown, "ask again with the same key", "service gave no answer")
}
