package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/stores"
)

// Prefix is the start of every path of the API.
const Prefix = "/admin/v1/"

// Limits of one request.
const (
	requestTimeout = 15 * time.Second
	maxSmallBody   = 64 << 10
	maxOperationID = 128
)

// HeaderOperation carries an operation id chosen by the client, so that a
// permission whose answer was lost can be sent again.
const HeaderOperation = "Idempotency-Key"

// Options are the parts that a Server works with.
type Options struct {
	Node    core.NodeID
	Control Control
	Objects stores.ObjectStore
	Tokens  []Token
	Timing  rollout.Timing
	Log     logrus.FieldLogger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Meter counts requests and notices; nil counts nothing.
	Meter metric.Meter
	// Notices receives completed and withdrawn rollouts; nil posts nothing.
	Notices *Notices
	// Notifies reports whether this process posts notices, for example because
	// it holds the lease of operators' duties; nil means always.
	Notifies func() bool
}

// Server answers the API's requests.
type Server struct {
	node     core.NodeID
	control  Control
	objects  stores.ObjectStore
	tokens   []tokenHash
	timing   rollout.Timing
	log      logrus.FieldLogger
	now      func() time.Time
	requests metric.Int64Counter
	notices  *Notices
	notifies func() bool
	watchers *ring.Ring[*watcher]
	router   *httprouter.Router
}

// New returns a server. Its Events duty must run for the watch route and for
// notices. Errors have the kind Invalid.
func New(o Options) (*Server, error) {
	tokens, err := parseTokens(o.Tokens)
	if err != nil {
		return nil, err
	}
	if o.Meter == nil {
		o.Meter = noop.Meter{}
	}
	requests, err := o.Meter.Int64Counter("admin_requests", metric.WithDescription("Requests to the administration API"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "counter cannot be set up")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Notifies == nil {
		o.Notifies = func() bool { return true }
	}
	s := &Server{
		node: o.Node, control: o.Control, objects: o.Objects, tokens: tokens, timing: o.Timing,
		log: o.Log, now: o.Now, requests: requests, notices: o.Notices, notifies: o.Notifies,
		watchers: ring.New[*watcher](maxWatchers),
	}
	s.router = s.newRouter()
	return s, nil
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// call is one authenticated request.
type call struct {
	r      *http.Request
	params httprouter.Params
	who    identity
}

func (c call) param(name string) string { return c.params.ByName(name) }

// answer is what a handler returns: a body for JSON, and the epoch for the
// ETag when it is not the view's.
type answer struct {
	status int
	body   any
	epoch  *core.Epoch
}

func ok(body any) answer { return answer{status: http.StatusOK, body: body} }

type route struct {
	method, path string
	role         Role
	maxBody      int64
	handle       func(context.Context, call) (answer, error)
}

func (s *Server) routes() []route {
	return []route{
		{http.MethodPost, "bundles", RoleOperator, bundle.MaxBytes, s.propose},
		{http.MethodGet, "bundles", RoleViewer, 0, s.history},
		{http.MethodGet, "bundles/:digest", RoleViewer, 0, s.showBundle},
		{http.MethodGet, "bundles/:digest/diff", RoleViewer, 0, s.diffBundle},
		{http.MethodPost, "bundles/:digest/sign-off", RoleSigner, maxSmallBody, s.signOff},
		{http.MethodGet, "rollouts", RoleViewer, 0, s.listRollouts},
		{http.MethodGet, "rollouts/:model", RoleViewer, 0, s.showRollout},
		{http.MethodPost, "rollouts/:model/withdraw", RoleOperator, maxSmallBody, s.withdraw},
		{http.MethodPost, "domains/:name/drain", RoleOperator, maxSmallBody, s.drainDomain},
		{http.MethodPost, "domains/:name/return", RoleOperator, maxSmallBody, s.returnDomain},
		{http.MethodPost, "upstreams/:name/drain", RoleOperator, maxSmallBody, s.drainUpstream},
		{http.MethodPost, "upstreams/:name/return", RoleOperator, maxSmallBody, s.returnUpstream},
		{http.MethodGet, "status", RoleViewer, 0, s.status},
		{http.MethodGet, "audit", RoleViewer, 0, s.audit},
	}
}

// watchPath is the route of the event stream, which has no time limit.
const watchPath = "events"

func (s *Server) newRouter() *httprouter.Router {
	router := httprouter.New()
	router.HandleOPTIONS = false // the router would answer with status 200
	for _, rt := range s.routes() {
		router.Handle(rt.method, Prefix+rt.path, s.handler(rt))
	}
	router.GET(Prefix+watchPath, s.watch)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, errs.New(errs.NotFound, "see docs/openapi.yaml for the routes", "there is no route %s", r.URL.Path))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, errs.New(errs.Invalid, "use "+w.Header().Get("Allow"), "route %s does not allow %s", r.URL.Path, r.Method))
	})
	return router
}

func (s *Server) handler(rt route) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		who, err := s.authenticate(r, rt.role)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		// Not every writer has a deadline; a test recorder has none.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestTimeout))
		r.Body = http.MaxBytesReader(w, r.Body, rt.maxBody)
		result, err := rt.handle(ctx, call{r: r, params: params, who: who})
		if err != nil {
			s.fail(w, r, err)
			return
		}
		s.succeed(w, r, rt, result)
	}
}

func (s *Server) succeed(w http.ResponseWriter, r *http.Request, rt route, result answer) {
	epoch := epochOf(s.control.View())
	if result.epoch != nil {
		epoch = *result.epoch
	}
	w.Header().Set("ETag", etag(epoch))
	s.count(r.Context(), rt.method+" "+rt.path, result.status)
	writeJSON(w, result.status, result.body)
}

func (s *Server) count(ctx context.Context, routeName string, status int) {
	s.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("route", routeName), attribute.Int("status", status)))
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error) {
	status := statusOf(err)
	s.count(r.Context(), "error", status)
	if status >= http.StatusInternalServerError {
		s.log.WithFields(logrus.Fields{"event": "admin_request_failed", "method": r.Method, "path": r.URL.Path, "status": status}).WithError(err).Warn("request failed")
	}
	writeError(w, status, err)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // the client has gone when this fails
}

func writeError(w http.ResponseWriter, status int, err error) {
	detail := ErrorDetail{Type: errs.KindOf(err).String(), Message: err.Error(), Faults: bundle.FaultsOf(err)}
	if len(detail.Faults) > 0 {
		// The faults are listed on their own.
		detail.Message = "input has " + strconv.Itoa(len(detail.Faults)) + " faults; correct the listed faults"
	}
	var conflict *epochConflict
	if errors.As(err, &conflict) {
		detail.Epoch = conflict.current
		w.Header().Set("ETag", etag(conflict.current))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, ErrorBody{Error: detail})
}

var statuses = map[errs.Kind]int{
	errs.Invalid: http.StatusBadRequest, errs.Unauthenticated: http.StatusUnauthorized,
	errs.Forbidden: http.StatusForbidden, errs.NotFound: http.StatusNotFound,
	errs.Conflict: http.StatusConflict, errs.Exhausted: http.StatusTooManyRequests,
	errs.Unavailable: http.StatusServiceUnavailable, errs.Stale: http.StatusConflict,
	errs.Unknown: http.StatusGatewayTimeout, errs.Corrupt: http.StatusBadGateway,
}

func statusOf(err error) int {
	var conflict *epochConflict
	if errors.As(err, &conflict) {
		return http.StatusPreconditionFailed
	}
	if status, ok := statuses[errs.KindOf(err)]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// epochConflict says that the head changed since the operator read it.
type epochConflict struct {
	cause   error
	current core.Epoch
}

func newEpochConflict(expected, current core.Epoch) error {
	return &epochConflict{current: current, cause: errs.New(errs.Conflict,
		"read the changes since then, and send the change again with If-Match "+etag(current),
		"head is at epoch %d, not %d: another change came first", current, expected)}
}

func (e *epochConflict) Error() string { return e.cause.Error() }
func (e *epochConflict) Unwrap() error { return e.cause }

func etag(e core.Epoch) string { return strconv.Quote(strconv.FormatUint(uint64(e), 10)) }

func epochOf(v *facts.View) core.Epoch {
	if v == nil {
		return 0
	}
	return v.Head.Epoch
}

// readyView returns the view, or an error of kind Unavailable before a bundle
// is known.
func (s *Server) readyView() (*facts.View, error) {
	v := s.control.View()
	if !v.HasBundle() {
		return nil, errs.New(errs.Unavailable, "sign off a first bundle, or retry when this process is ready", "no bundle is known")
	}
	return v, nil
}

// expectedEpoch reads the If-Match header, which every permission needs.
func expectedEpoch(r *http.Request) (core.Epoch, error) {
	const remedy = "send If-Match with the ETag of an earlier answer"
	text := r.Header.Get("If-Match")
	if text == "" {
		return 0, errs.New(errs.Invalid, remedy, "request has no If-Match header")
	}
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	return core.Epoch(number), errs.Wrap(err, errs.Invalid, remedy, "If-Match %q is not an epoch", text)
}

// checkEpoch compares the expected epoch with the view that a change is checked
// against. A request with an operation id may be the repetition of a permission
// that has raised the epoch; the control plane tells it from a conflict.
func checkEpoch(r *http.Request, expected, seen core.Epoch) error {
	if seen < expected {
		return errs.New(errs.Unavailable, "retry in a second", "this process has seen epoch %d and not yet %d", seen, expected)
	}
	if seen > expected && r.Header.Get(HeaderOperation) == "" {
		return newEpochConflict(expected, seen)
	}
	return nil
}

func operationID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderOperation)
	if len(id) > maxOperationID {
		return "", errs.New(errs.Invalid, "shorten it", "operation id has more than %d characters", maxOperationID)
	}
	if id == "" {
		id = uuid.NewString()
	}
	return id, nil
}

// permit runs a permission against the head that the operator has seen. The
// change gets a copy of the head and the epoch that it will have.
func (s *Server) permit(ctx context.Context, c call, entry AuditEntry, change func(head *facts.Head, next core.Epoch)) (facts.Head, error) {
	expected, err := expectedEpoch(c.r)
	if err != nil {
		return facts.Head{}, err
	}
	operation, err := operationID(c.r)
	if err != nil {
		return facts.Head{}, err
	}
	entry.At = s.now().UTC()
	entry.Actor = c.who.name
	entry.OperationID = operation
	head, err := s.control.Permit(ctx, operation, func(h facts.Head) (facts.Head, error) {
		if h.Epoch != expected {
			return h, newEpochConflict(expected, h.Epoch)
		}
		next := copyHead(h)
		change(&next, h.Epoch+1)
		return next, nil
	}, entry)
	if err != nil {
		return head, err
	}
	s.log.WithFields(logrus.Fields{
		"event": "permission", "action": entry.Action, "subject": entry.Subject, "actor": entry.Actor,
		"epoch": head.Epoch, "operation": operation,
	}).Info("permission given")
	return head, nil
}

// restrict raises a restriction with the epoch that this process has seen.
func (s *Server) restrict(ctx context.Context, c call, subject facts.Subject, reason string) (core.Epoch, error) {
	stamp := epochOf(s.control.View())
	err := s.control.Restrict(ctx, facts.Restriction{Subject: subject, Stamp: stamp, Origin: s.node, Reason: c.who.name + ": " + reason})
	if err != nil {
		return stamp, err
	}
	s.log.WithFields(logrus.Fields{
		"event": "restriction", "kind": subjectKinds[subject.Kind], "subject": subject.Name,
		"actor": c.who.name, "stamp": stamp, "reason": reason,
	}).Info("restriction raised")
	return stamp, nil
}

// readJSON decodes a small body; an empty one leaves the target as it is.
func readJSON(r *http.Request, target any) error {
	const remedy = "send the JSON body that docs/openapi.yaml describes"
	body, err := readBody(r)
	if err != nil || len(body) == 0 {
		return err
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	return errs.Wrap(decoder.Decode(target), errs.Invalid, remedy, "body is not the expected JSON")
}

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errs.New(errs.Invalid, "send a smaller body", "body has more than %d bytes", tooLarge.Limit)
	}
	return body, errs.Wrap(err, errs.Invalid, "send the whole body", "body cannot be read")
}

// RouteInfo describes one route of the API.
type RouteInfo struct {
	Method string
	// Path follows Prefix; parameters begin with a colon.
	Path string
	Role Role
}

// RouteList lists the routes of the API.
func (s *Server) RouteList() []RouteInfo {
	out := []RouteInfo{{http.MethodGet, watchPath, RoleViewer}}
	for _, rt := range s.routes() {
		out = append(out, RouteInfo{rt.method, rt.path, rt.role})
	}
	return out
}
