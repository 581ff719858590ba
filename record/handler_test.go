package record_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/wire"
)

const apiKey = "test key"

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func errorType(body string) string {
	var v struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &v); err != nil {
		return ""
	}
	return v.Error.Type
}

// scriptedSender returns the given replies to the attempts of one call, in sequence.
type scriptedSender struct {
	replies []scriptedReply
	sent    []*wire.CallRequest
}

type scriptedReply struct {
	outcome wire.Outcome
	reason  wire.RejectReason
	status  uint32
	err     error
}

func (s *scriptedSender) Call(_ context.Context, _ *bundle.Upstream, req *wire.CallRequest) (*wire.CallReply, error) {
	reply := s.replies[len(s.sent)]
	s.sent = append(s.sent, req)
	if reply.err != nil {
		return nil, reply.err
	}
	return &wire.CallReply{Attempt: req.GetAttempt(), Outcome: reply.outcome, Reason: reply.reason, Status: reply.status}, nil
}

func testView() *facts.View {
	newUpstream := func(id core.UpstreamID, domain core.FailureDomain) bundle.Upstream {
		return bundle.Upstream{ID: id, Kind: bundle.KindService, Service: "records", FailureDomain: domain}
	}
	return &facts.View{Index: bundle.NewIndex(&bundle.Bundle{
		Upstreams:  []bundle.Upstream{newUpstream("r1", "fd1"), newUpstream("r2", "fd2"), newUpstream("r3", "fd3")},
		Services:   []bundle.Service{{ID: "records", NonRepeatable: []string{"POST /lots"}}, {ID: "other"}},
		Workspaces: []bundle.Workspace{{ID: "w", Services: []core.ServiceID{"records"}, Callers: []bundle.Caller{{ID: "c", KeySHA256: sha256Hex(apiKey)}}}},
	})}
}

func sendRequest(t *testing.T, view *facts.View, sender record.AgentClient, method, target string, header map[string]string) *httptest.ResponseRecorder {
	handler, err := record.NewHandler(record.HandlerOptions{AgentClient: sender, View: func() *facts.View { return view }})
	require.NoError(t, err)
	router := httprouter.New()
	handler.Register(router)
	r := httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader("body"))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Idempotency-Key", "k")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response := httptest.NewRecorder()
	router.ServeHTTP(response, r)
	return response
}

// Guards against responses that differ from the outcome table in docs/design.md.
// Also guards against a retry of a call that may have run, and against a missing
// retry of a call that has not run.
func TestOutcomes(t *testing.T) {
	notSent := scriptedReply{err: errs.New(errs.Unavailable, "", "dial")}
	connectionLost := scriptedReply{err: errs.New(errs.Unknown, "", "broken")}
	rejected := func(r wire.RejectReason) scriptedReply {
		return scriptedReply{outcome: wire.Outcome_OUTCOME_REJECTED, reason: r}
	}
	finished := scriptedReply{outcome: wire.Outcome_OUTCOME_FINISHED, status: 201}
	cases := map[string]struct {
		method        string
		replies       []scriptedReply
		wantStatus    int
		wantErrorType string
	}{
		"finished":                                  {"POST", []scriptedReply{finished}, 201, ""},
		"in progress":                               {"POST", []scriptedReply{{outcome: wire.Outcome_OUTCOME_STARTED}}, 409, "in_progress"},
		"unknown":                                   {"POST", []scriptedReply{{outcome: wire.Outcome_OUTCOME_UNKNOWN}}, 504, "outcome_unknown"},
		"outcome of a newer version":                {"POST", []scriptedReply{{outcome: 99}}, 504, "outcome_unknown"},
		"connection lost":                           {"POST", []scriptedReply{connectionLost}, 504, "outcome_unknown"},
		"not sent, then finished":                   {"POST", []scriptedReply{notSent, finished}, 201, ""},
		"not sent anywhere":                         {"POST", []scriptedReply{notSent, notSent, notSent}, 503, "not_run"},
		"stopping, then finished":                   {"POST", []scriptedReply{rejected(wire.RejectReason_REJECT_STOPPING), finished}, 201, ""},
		"not sent, then connection lost":            {"POST", []scriptedReply{notSent, connectionLost}, 504, "outcome_unknown"},
		"table unavailable":                         {"POST", []scriptedReply{rejected(wire.RejectReason_REJECT_TABLE_UNAVAILABLE)}, 503, "not_run"},
		"key reused":                                {"POST", []scriptedReply{{outcome: wire.Outcome_OUTCOME_REJECTED, status: 422}}, 422, "invalid_request"},
		"repeatable: retried after lost connection": {"GET", []scriptedReply{connectionLost, {outcome: wire.Outcome_OUTCOME_UNKNOWN}, finished}, 201, ""},
		"repeatable: one attempt may have run":      {"GET", []scriptedReply{connectionLost, notSent, notSent}, 504, "outcome_unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sender := &scriptedSender{replies: c.replies}
			response := sendRequest(t, testView(), sender, c.method, "/services/records/lots", nil)
			require.Equal(t, c.wantStatus, response.Code, response.Body)
			require.Equal(t, c.wantErrorType, errorType(response.Body.String()))
			require.Len(t, sender.sent, len(c.replies))
			require.Equal(t, c.wantErrorType == "not_run" || c.wantErrorType == "in_progress", response.Header().Get("Retry-After") != "")
			upstreams := map[string]bool{}
			for _, req := range sender.sent {
				upstreams[req.GetUpstream()] = true
			}
			require.Len(t, upstreams, len(c.replies), "each attempt is sent to a different upstream")
		})
	}
}

// Guards against invalid requests that are sent to an upstream. An example is a path
// that the service accepts as another form of a path in the bundle's rules, and that
// the rules do not match.
func TestInvalidRequestsAreRefused(t *testing.T) {
	cases := map[string]struct {
		method, target string
		header         map[string]string
		wantStatus     int
	}{
		"wrong key":               {"GET", "/services/records/lots", map[string]string{"Authorization": "Bearer x"}, 401},
		"no bearer":               {"GET", "/services/records/lots", map[string]string{"Authorization": apiKey}, 401},
		"service of no workspace": {"GET", "/services/other/lots", nil, 404},
		"empty segment":           {"POST", "/services/records//lots", nil, 400},
		"dot segment":             {"POST", "/services/records/./lots", nil, 400},
		"escaped dots":            {"POST", "/services/records/x/%2e%2e/lots", nil, 400},
		"no idempotency key":      {"POST", "/services/records/lots", map[string]string{"Idempotency-Key": ""}, 400},
		"long key":                {"POST", "/services/records/lots", map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, 400},
		"lower-case method":       {"post", "/services/records/lots", nil, 405},
		"bad deadline":            {"GET", "/services/records/lots", map[string]string{"Waxwingtide-Timeout-Ms": "0"}, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sender := &scriptedSender{}
			response := sendRequest(t, testView(), sender, c.method, c.target, c.header)
			require.Equal(t, c.wantStatus, response.Code, response.Body)
			require.Empty(t, sender.sent)
		})
	}
	response := sendRequest(t, nil, &scriptedSender{}, "GET", "/services/records/lots", nil)
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
}

// Guards against calls with the same idempotency key that are sent to different
// agents, and against calls to a restricted upstream or failure domain.
func TestFirstCandidate(t *testing.T) {
	view := testView()
	firstCandidate := func() core.UpstreamID {
		sender := &scriptedSender{replies: []scriptedReply{{outcome: wire.Outcome_OUTCOME_FINISHED, status: 200}}}
		response := sendRequest(t, view, sender, "POST", "/services/records/lots", nil)
		require.Equal(t, 200, response.Code)
		return core.UpstreamID(sender.sent[0].GetUpstream())
	}
	initial := firstCandidate()
	require.Equal(t, initial, firstCandidate())
	view.Restrictions = map[facts.Subject]facts.Restriction{}
	restrict := func(kind facts.SubjectKind, name string) {
		s := facts.Subject{Kind: kind, Name: name}
		view.Restrictions[s] = facts.Restriction{Subject: s}
	}
	restrict(facts.SubjectDomain, string(view.Index.Upstreams[initial].FailureDomain))
	afterDomainRestriction := firstCandidate()
	require.NotEqual(t, initial, afterDomainRestriction)
	restrict(facts.SubjectUpstream, string(afterDomainRestriction))
	afterUpstreamRestriction := firstCandidate()
	require.NotContains(t, []core.UpstreamID{initial, afterDomainRestriction}, afterUpstreamRestriction)
	restrict(facts.SubjectUpstream, string(afterUpstreamRestriction))
	response := sendRequest(t, view, &scriptedSender{}, "POST", "/services/records/lots", nil)
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.Equal(t, "not_run", errorType(response.Body.String()))
}
