package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
)

// Limits on what is read from an engine, in bytes.
const (
	maxBodyBytes    = 4 << 20
	maxExportBytes  = 256 << 20
	maxProblemBytes = 512
)

const (
	remedyRetryElsewhere = "send the request to another upstream"
	remedyCheckEngine    = "check the engine's state and version"
	remedyReadBack       = "read the engine's state before sending the order again"
)

// Options configures a client.
type Options struct {
	// BaseURL is the engine's address, for example "http://127.0.0.1:8000".
	BaseURL string
	// HTTP performs the requests; nil means httplimit.NewClient. A timeout on it
	// bounds whole streams, so deadlines belong in the context.
	HTTP *http.Client
}

// Client talks to one engine. It is safe for concurrent use.
//
// Its errors have these kinds: Unavailable when the engine has provably not
// taken the request, Unknown when it may have, Invalid when it refused the
// content, NotFound when it lacks the model, Stale when it refused the fence,
// Exhausted when the cache has no room, Corrupt when its answer fails a check.
type Client struct {
	base string
	http *http.Client
	// single performs completions and orders, each over a connection of its own: an
	// engine's responses to them carry no id, so on a kept connection an earlier one that
	// arrives late would be taken for the result.
	single *http.Client
}

// New returns a client for the engine at the base URL.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = httplimit.NewClient()
	}
	return &Client{base: strings.TrimRight(o.BaseURL, "/"), http: o.HTTP, single: withoutKeptConnections(o.HTTP)}
}

// withoutKeptConnections returns a client that opens a connection for each request. A
// transport that is not net/http's is used as it is.
func withoutKeptConnections(c *http.Client) *http.Client {
	kept := c.Transport
	if kept == nil {
		kept = http.DefaultTransport
	}
	transport, ok := kept.(*http.Transport)
	if !ok {
		return c
	}
	transport = transport.Clone()
	transport.DisableKeepAlives = true
	single := *c
	single.Transport = transport
	return &single
}

// Load is a sample of the engine's load metrics. The engine reports them late.
type Load struct {
	Running int
	Waiting int
	// CacheUse is the used share of the prefix cache, from 0 to 1.
	CacheUse float64
}

// Info reads the engine's incarnation, cache epoch, models and role.
func (c *Client) Info(ctx context.Context) (Info, error) {
	var info Info
	err := c.call(ctx, call{method: http.MethodGet, path: PathInfo, out: &info})
	return info, err
}

// Events reads the cache events after a sequence number.
func (c *Client) Events(ctx context.Context, after uint64) (EventPage, error) {
	var page EventPage
	path := PathEvents + "?" + url.Values{"after": {strconv.FormatUint(after, 10)}}.Encode()
	err := c.call(ctx, call{method: http.MethodGet, path: path, out: &page})
	return page, err
}

// Export reads the content of blocks. Blocks that the engine no longer holds
// are missing from the answer; blocks that were not asked for are an error.
func (c *Client) Export(ctx context.Context, req ExportRequest) ([]Block, error) {
	var resp ExportResponse
	err := c.call(ctx, call{method: http.MethodPost, path: PathExport, in: req, out: &resp, limit: maxExportBytes})
	if err != nil {
		return nil, err
	}
	asked := make(map[string]bool, len(req.Keys))
	for _, key := range req.Keys {
		asked[key] = true
	}
	for _, block := range resp.Blocks {
		if !asked[block.Key] {
			return nil, errs.New(errs.Corrupt, remedyCheckEngine, "export answer holds block %q that was not asked for", block.Key)
		}
		delete(asked, block.Key)
	}
	return resp.Blocks, nil
}

// Import commits blocks to the engine's cache, all or none.
func (c *Client) Import(ctx context.Context, req ImportRequest) error {
	return c.call(ctx, call{method: http.MethodPost, path: PathImport, in: req, single: true})
}

// Load orders the engine to load a weight version and returns when it serves
// it.
func (c *Client) Load(ctx context.Context, fence core.Fence, modelName string) error {
	return c.call(ctx, call{method: http.MethodPost, path: PathLoad, in: LoadRequest{Model: modelName}, fence: fence, single: true})
}

// SetRole orders the engine to change its role.
func (c *Client) SetRole(ctx context.Context, fence core.Fence, role string) error {
	return c.call(ctx, call{method: http.MethodPost, path: PathRole, in: RoleRequest{Role: role}, fence: fence, single: true})
}

// Sample reads the load metrics.
func (c *Client) Sample(ctx context.Context) (Load, error) {
	var text []byte
	if err := c.call(ctx, call{method: http.MethodGet, path: PathMetrics, raw: &text}); err != nil {
		return Load{}, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return Load{}, errs.Wrap(err, errs.Corrupt, remedyCheckEngine, "engine metrics cannot be parsed")
	}
	values := make(map[string]float64, 3)
	for _, name := range []string{MetricRunning, MetricWaiting, MetricCache} {
		metrics := families[name].GetMetric()
		if len(metrics) == 0 {
			return Load{}, errs.New(errs.Corrupt, remedyCheckEngine, "engine metrics lack %s", name)
		}
		values[name] = metrics[0].GetGauge().GetValue() + metrics[0].GetUntyped().GetValue()
	}
	return Load{Running: int(values[MetricRunning]), Waiting: int(values[MetricWaiting]), CacheUse: values[MetricCache]}, nil
}

// call describes one request with a bounded answer. At most one of out and raw
// is set.
type call struct {
	method string
	path   string
	in     any
	out    any
	raw    *[]byte
	fence  core.Fence
	limit  int64
	// single is set for a request whose result must not be that of an earlier one:
	// completions and orders.
	single bool
}

func (c *Client) call(ctx context.Context, req call) error {
	resp, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if req.limit == 0 {
		req.limit = maxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, req.limit+1))
	if err != nil {
		return errs.Wrap(err, errs.Unknown, remedyReadBack, "engine answer to %s was cut", req.path)
	}
	if int64(len(body)) > req.limit {
		return errs.New(errs.Corrupt, remedyCheckEngine, "engine answer to %s exceeds %d bytes", req.path, req.limit)
	}
	if req.raw != nil {
		*req.raw = body
	}
	if req.out == nil {
		return nil
	}
	if err := json.Unmarshal(body, req.out); err != nil {
		return errs.Wrap(err, errs.Corrupt, remedyCheckEngine, "engine answer to %s is malformed", req.path)
	}
	return nil
}

// send performs a request and returns the response if its status is 2xx.
func (c *Client) send(ctx context.Context, req call) (*http.Response, error) {
	var body io.Reader
	if req.in != nil {
		encoded, err := json.Marshal(req.in)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "correct the request", "request cannot be encoded")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, req.method, c.base+req.path, body)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "correct the engine's address", "request cannot be built")
	}
	if req.in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if req.fence > 0 {
		request.Header.Set(HeaderFence, strconv.FormatUint(uint64(req.fence), 10))
	}
	client := c.http
	if req.single {
		client = c.single
	}
	resp, err := httplimit.Do(client, request)
	if err != nil {
		return nil, transportError(err, req.path)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, statusError(resp, req.path)
}

// transportError tells a connection that was never set up, over which nothing
// was handed over, from one that broke later.
func transportError(err error, path string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errs.Wrap(err, errs.Unavailable, remedyRetryElsewhere, "engine cannot be reached for %s", path)
	}
	return errs.Wrap(err, errs.Unknown, remedyReadBack, "engine gave no valid answer after %s was sent", path)
}

var statusKinds = map[int]errs.Kind{
	http.StatusBadRequest:            errs.Invalid,
	http.StatusNotFound:              errs.NotFound,
	http.StatusPreconditionFailed:    errs.Stale,
	http.StatusRequestEntityTooLarge: errs.Invalid,
	http.StatusUnprocessableEntity:   errs.Corrupt,
	http.StatusTooManyRequests:       errs.Unavailable,
	http.StatusServiceUnavailable:    errs.Unavailable,
	http.StatusInsufficientStorage:   errs.Exhausted,
}

func statusError(resp *http.Response, path string) error {
	kind, ok := statusKinds[resp.StatusCode]
	remedy := remedyCheckEngine
	switch {
	case !ok:
		kind, remedy = errs.Unknown, remedyReadBack
	case kind == errs.Unavailable:
		remedy = remedyRetryElsewhere
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	return errs.New(kind, remedy, "engine answered %d to %s: %s", resp.StatusCode, path, strings.TrimSpace(string(text)))
}
