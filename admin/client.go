package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
)

// Client calls the API. Errors have the kinds that the server gave them, and
// Unavailable when it does not answer. Faults of a refused bundle can be read
// with bundle.FaultsOf.
type Client struct {
	// BaseURL is the administration address, for example http://127.0.0.1:7070.
	BaseURL string
	// Token is the bearer token.
	Token string
	// HTTP sends the requests; nil means a client with the bounds of package httplimit
	// and without a time limit, which leaves the limit to the context.
	HTTP *http.Client
}

// defaultHTTP is the client of all Clients without HTTP, which share its connections.
var defaultHTTP = httplimit.NewClient()

// Propose stores a bundle document and returns what it would change.
func (c *Client) Propose(ctx context.Context, document []byte) (Proposal, error) {
	var out Proposal
	err := c.do(ctx, request{method: http.MethodPost, path: "bundles", body: document}, &out)
	return out, err
}

// ShowBundle returns a stored bundle; the digest may be "current".
func (c *Client) ShowBundle(ctx context.Context, digest string) (bundle.Bundle, error) {
	var out bundle.Bundle
	err := c.do(ctx, request{path: "bundles/" + url.PathEscape(digest)}, &out)
	return out, err
}

// DiffBundle compares a stored bundle with another one, or with the one in
// force when against is empty.
func (c *Client) DiffBundle(ctx context.Context, digest, against string) (Comparison, error) {
	var out Comparison
	path := "bundles/" + url.PathEscape(digest) + "/diff"
	err := c.do(ctx, request{path: path, query: url.Values{"against": {against}}}, &out)
	return out, err
}

// SignOff puts a stored bundle in force if the head is still at the epoch.
func (c *Client) SignOff(ctx context.Context, digest string, at core.Epoch, retryWithdrawn bool) (Permission, error) {
	var out Permission
	query := url.Values{"retry_withdrawn": {strconv.FormatBool(retryWithdrawn)}}
	path := "bundles/" + url.PathEscape(digest) + "/sign-off"
	err := c.permit(ctx, request{path: path, query: query}, at, &out)
	return out, err
}

// History lists sign-offs. A page may be empty while Next is set.
func (c *Client) History(ctx context.Context, after string, limit int) (AuditPage, error) {
	return c.page(ctx, "bundles", after, limit)
}

// Audit lists changes, oldest first.
func (c *Client) Audit(ctx context.Context, after string, limit int) (AuditPage, error) {
	return c.page(ctx, "audit", after, limit)
}

func (c *Client) page(ctx context.Context, path, after string, limit int) (AuditPage, error) {
	var out AuditPage
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.do(ctx, request{path: path, query: query}, &out)
	return out, err
}

// Rollouts lists the rollouts of the bundle in force.
func (c *Client) Rollouts(ctx context.Context) ([]RolloutStatus, error) {
	var out []RolloutStatus
	err := c.do(ctx, request{path: "rollouts"}, &out)
	return out, err
}

// Rollout returns the rollout of one model.
func (c *Client) Rollout(ctx context.Context, model core.ModelID) (RolloutStatus, error) {
	var out RolloutStatus
	err := c.do(ctx, request{path: "rollouts/" + url.PathEscape(string(model))}, &out)
	return out, err
}

// Withdraw withdraws the version that a model is rolled to.
func (c *Client) Withdraw(ctx context.Context, model core.ModelID, reason string) (Withdrawal, error) {
	var out Withdrawal
	path := "rollouts/" + url.PathEscape(string(model)) + "/withdraw"
	err := c.post(ctx, path, Reason{Reason: reason}, &out)
	return out, err
}

// DrainDomain takes a failure domain out of service.
func (c *Client) DrainDomain(ctx context.Context, name core.FailureDomain, reason Reason) (Drain, error) {
	var out Drain
	err := c.post(ctx, "domains/"+url.PathEscape(string(name))+"/drain", reason, &out)
	return out, err
}

// DrainUpstream takes an upstream out of service.
func (c *Client) DrainUpstream(ctx context.Context, name core.UpstreamID, reason Reason) (Drain, error) {
	var out Drain
	err := c.post(ctx, "upstreams/"+url.PathEscape(string(name))+"/drain", reason, &out)
	return out, err
}

// ReturnDomain puts a failure domain back in service if the head is still at
// the epoch.
func (c *Client) ReturnDomain(ctx context.Context, name core.FailureDomain, at core.Epoch) (Permission, error) {
	var out Permission
	err := c.permit(ctx, request{path: "domains/" + url.PathEscape(string(name)) + "/return"}, at, &out)
	return out, err
}

// ReturnUpstream puts an upstream back in service if the head is still at the
// epoch.
func (c *Client) ReturnUpstream(ctx context.Context, name core.UpstreamID, at core.Epoch) (Permission, error) {
	var out Permission
	err := c.permit(ctx, request{path: "upstreams/" + url.PathEscape(string(name)) + "/return"}, at, &out)
	return out, err
}

// Status returns an overview.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.do(ctx, request{path: "status"}, &out)
	return out, err
}

// Maximum sizes of what the server sends, in bytes.
const (
	// maxAnswerBytes allows for a bundle of the maximum size, encoded as JSON.
	maxAnswerBytes = 2 * bundle.MaxBytes
	// maxErrorAnswerBytes allows for some thousand faults of a bundle.
	maxErrorAnswerBytes = 1 << 20
	// maxEventLine is the maximum size of one line of the event stream.
	maxEventLine = 1 << 20
)

// Watch calls a function with each event until it returns an error, the stream
// ends or the context ends.
func (c *Client) Watch(ctx context.Context, each func(Event) error) error {
	response, err := c.send(ctx, request{path: watchPath})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var e Event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errs.Wrap(err, errs.Corrupt, "use a client of the server's version", "event cannot be read")
		}
		if err := each(e); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errs.Wrap(orEOF(lines.Err()), errs.Unavailable, "watch again", "event stream ended")
}

func orEOF(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}

type request struct {
	method, path string
	query        url.Values
	body         []byte
	header       map[string]string
}

func (c *Client) post(ctx context.Context, path string, body, out any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "request cannot be encoded")
	}
	return c.do(ctx, request{method: http.MethodPost, path: path, body: encoded}, out)
}

// permitPause is the time before a permission with an unknown result is sent
// again.
const permitPause = time.Second

// permit sends a permission and sends it once more when the result is not
// known. The operation id keeps it from taking effect twice.
func (c *Client) permit(ctx context.Context, r request, at core.Epoch, out any) error {
	r.method = http.MethodPost
	r.header = map[string]string{"If-Match": etag(at), HeaderOperation: uuid.NewString()}
	err := c.do(ctx, r, out)
	if !errs.Is(err, errs.Unknown) {
		return err
	}
	select {
	case <-ctx.Done():
		return err
	case <-time.After(permitPause):
	}
	return c.do(ctx, r, out)
}

// do sends a request and decodes the answer.
func (c *Client) do(ctx context.Context, r request, out any) error {
	response, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(httplimit.LimitBody(response.Body, maxAnswerBytes)).Decode(out)
	return errs.Wrap(err, errs.Unknown, "read the status before sending the request again", "answer cannot be read")
}

// send returns a response with a status below 400; the caller closes its body.
func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	const remedy = "check the administration address"
	if r.method == "" {
		r.method = http.MethodGet
	}
	address := strings.TrimSuffix(c.BaseURL, "/") + Prefix + r.path
	if query := r.query.Encode(); query != "" {
		address += "?" + query
	}
	out, err := http.NewRequestWithContext(ctx, r.method, address, bytes.NewReader(r.body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, remedy, "request cannot be built")
	}
	out.Header.Set("Authorization", "Bearer "+c.Token)
	for name, value := range r.header {
		out.Header.Set(name, value)
	}
	client := c.HTTP
	if client == nil {
		client = defaultHTTP
	}
	response, err := httplimit.Do(client, out)
	if err != nil {
		return nil, errs.Wrap(err, sendKind(r), remedy, "administration API does not answer")
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, readError(response)
}

// sendKind is the kind of a failed connection: a permission may have arrived.
func sendKind(r request) errs.Kind {
	if r.header[HeaderOperation] != "" {
		return errs.Unknown
	}
	return errs.Unavailable
}

// readError turns an error answer into an error of the same kind.
func readError(response *http.Response) error {
	var body ErrorBody
	err := json.NewDecoder(httplimit.LimitBody(response.Body, maxErrorAnswerBytes)).Decode(&body)
	if err != nil || body.Error.Type == "" {
		return errs.New(errs.Unavailable, "check that the address is that of the administration API", "answer has status %s", response.Status)
	}
	kind := kindOf(body.Error.Type)
	problem := errs.New(kind, "", "%s", body.Error.Message)
	if len(body.Error.Faults) > 0 {
		problem = errs.Wrap(body.Error.Faults, kind, "correct the listed faults", "input has %d faults", len(body.Error.Faults))
	}
	if response.StatusCode == http.StatusPreconditionFailed {
		return &epochConflict{cause: problem, current: body.Error.Epoch}
	}
	return problem
}

func kindOf(name string) errs.Kind {
	for kind := errs.Invalid; kind <= errs.Internal; kind++ {
		if kind.String() == name {
			return kind
		}
	}
	return errs.Internal
}

// CurrentEpoch returns the head's epoch that a conflict names.
func CurrentEpoch(err error) (core.Epoch, bool) {
	var conflict *epochConflict
	if errors.As(err, &conflict) {
		return conflict.current, true
	}
	return 0, false
}
