package servicecall_test

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
	"waxwingtide.example/waxwingtide/servicecall"
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

// scriptedSender answers the attempts of one call in order.
type scriptedSender struct {
	steps []step
	sent  []*wire.CallRequest
}

type step struct {
	outcome wire.Outcome
	reason  wire.RejectReason
	status  uint32
	err     error
}

func (s *scriptedSender) Call(_ context.Context, _ *bundle.Upstream, req *wire.CallRequest) (*wire.CallReply, error) {
	next := s.steps[len(s.sent)]
	s.sent = append(s.sent, req)
	if next.err != nil {
		return nil, next.err
	}
	return &wire.CallReply{Attempt: req.GetAttempt(), Outcome: next.outcome, Reason: next.reason, Status: next.status}, nil
}

func testView() *facts.View {
	service := func(id core.UpstreamID, domain core.FailureDomain) bundle.Upstream {
		return bundle.Upstream{ID: id, Kind: bundle.KindService, Service: "records", FailureDomain: domain}
	}
	return &facts.View{Index: bundle.NewIndex(&bundle.Bundle{
		Upstreams:  []bundle.Upstream{service("r1", "fd1"), service("r2", "fd2"), service("r3", "fd3")},
		Services:   []bundle.Service{{ID: "records", NonRepeatable: []string{"POST /lots"}}, {ID: "other"}},
		Workspaces: []bundle.Workspace{{ID: "w", Services: []core.ServiceID{"records"}, Callers: []bundle.Caller{{ID: "c", KeySHA256: sha256Hex(apiKey)}}}},
	})}
}

func send(t *testing.T, view *facts.View, sender servicecall.Sender, method, target string, header map[string]string) *httptest.ResponseRecorder {
	handler, err := servicecall.NewHandler(servicecall.HandlerOptions{Sender: sender, View: func() *facts.View { return view }})
	require.NoError(t, err)
	router := httprouter.New()
	handler.Register(router)
	r := httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader("body"))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Idempotency-Key", "k")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	answer := httptest.NewRecorder()
	router.ServeHTTP(answer, r)
	return answer
}

// Guards against the outcome table of the design page, and against a retry of
// a call that may have run or the lack of one for a call that has not.
func TestOutcomes(t *testing.T) {
	notSent := step{err: errs.New(errs.Unavailable, "", "dial")}
	broken := step{err: errs.New(errs.Unknown, "", "broken")}
	rejected := func(r wire.RejectReason) step {
		return step{outcome: wire.Outcome_OUTCOME_REJECTED, reason: r}
	}
	finished := step{outcome: wire.Outcome_OUTCOME_FINISHED, status: 201}
	cases := map[string]struct {
		method string
		steps  []step
		status int
		kind   string
	}{
		"finished":                           {"POST", []step{finished}, 201, ""},
		"in progress":                        {"POST", []step{{outcome: wire.Outcome_OUTCOME_STARTED}}, 409, "in_progress"},
		"unknown":                            {"POST", []step{{outcome: wire.Outcome_OUTCOME_UNKNOWN}}, 504, "outcome_unknown"},
		"outcome of a newer version":         {"POST", []step{{outcome: 99}}, 504, "outcome_unknown"},
		"connection breaks":                  {"POST", []step{broken}, 504, "outcome_unknown"},
		"not sent, then finished":            {"POST", []step{notSent, finished}, 201, ""},
		"not sent anywhere":                  {"POST", []step{notSent, notSent, notSent}, 503, "not_run"},
		"stopping, then finished":            {"POST", []step{rejected(wire.RejectReason_REJECT_STOPPING), finished}, 201, ""},
		"not sent, then connection breaks":   {"POST", []step{notSent, broken}, 504, "outcome_unknown"},
		"table unavailable":                  {"POST", []step{rejected(wire.RejectReason_REJECT_TABLE_UNAVAILABLE)}, 503, "not_run"},
		"key reused":                         {"POST", []step{{outcome: wire.Outcome_OUTCOME_REJECTED, status: 422}}, 422, "invalid_request"},
		"idempotent: retried after breaks":   {"GET", []step{broken, {outcome: wire.Outcome_OUTCOME_UNKNOWN}, finished}, 201, ""},
		"idempotent: one break, never again": {"GET", []step{broken, notSent, notSent}, 504, "outcome_unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sender := &scriptedSender{steps: c.steps}
			answer := send(t, testView(), sender, c.method, "/services/records/lots", nil)
			require.Equal(t, c.status, answer.Code, answer.Body)
			require.Equal(t, c.kind, errorType(answer.Body.String()))
			require.Len(t, sender.sent, len(c.steps))
			require.Equal(t, c.kind == "not_run" || c.kind == "in_progress", answer.Header().Get("Retry-After") != "")
			upstreams := map[string]bool{}
			for _, req := range sender.sent {
				upstreams[req.GetUpstream()] = true
			}
			require.Len(t, upstreams, len(c.steps), "each attempt goes to another upstream")
		})
	}
}

// Guards against requests that reach an upstream although they break a rule,
// above all a path that the bundle's rules do not match but the service would.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		method, target string
		header         map[string]string
		status         int
	}{
		"wrong key":          {"GET", "/services/records/lots", map[string]string{"Authorization": "Bearer x"}, 401},
		"no bearer":          {"GET", "/services/records/lots", map[string]string{"Authorization": apiKey}, 401},
		"foreign service":    {"GET", "/services/other/lots", nil, 404},
		"empty segment":      {"POST", "/services/records//lots", nil, 400},
		"dot segment":        {"POST", "/services/records/./lots", nil, 400},
		"escaped dots":       {"POST", "/services/records/x/%2e%2e/lots", nil, 400},
		"no idempotency key": {"POST", "/services/records/lots", map[string]string{"Idempotency-Key": ""}, 400},
		"long key":           {"POST", "/services/records/lots", map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, 400},
		"lower-case method":  {"post", "/services/records/lots", nil, 405},
		"bad deadline":       {"GET", "/services/records/lots", map[string]string{"Waxwingtide-Timeout-Ms": "0"}, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sender := &scriptedSender{}
			answer := send(t, testView(), sender, c.method, c.target, c.header)
			require.Equal(t, c.status, answer.Code, answer.Body)
			require.Empty(t, sender.sent)
		})
	}
	answer := send(t, nil, &scriptedSender{}, "GET", "/services/records/lots", nil)
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
}

// Guards against attempts with one key that do not meet at one agent, and
// against new work on a leaving upstream or failure domain.
func TestHome(t *testing.T) {
	view := testView()
	home := func() core.UpstreamID {
		sender := &scriptedSender{steps: []step{{outcome: wire.Outcome_OUTCOME_FINISHED, status: 200}}}
		answer := send(t, view, sender, "POST", "/services/records/lots", nil)
		require.Equal(t, 200, answer.Code)
		return core.UpstreamID(sender.sent[0].GetUpstream())
	}
	first := home()
	require.Equal(t, first, home())
	view.Restrictions = map[facts.Subject]facts.Restriction{}
	restrict := func(kind facts.SubjectKind, name string) {
		s := facts.Subject{Kind: kind, Name: name}
		view.Restrictions[s] = facts.Restriction{Subject: s}
	}
	restrict(facts.SubjectDomain, string(view.Index.Upstreams[first].FailureDomain))
	second := home()
	require.NotEqual(t, first, second)
	restrict(facts.SubjectUpstream, string(second))
	third := home()
	require.NotContains(t, []core.UpstreamID{first, second}, third)
	restrict(facts.SubjectUpstream, string(third))
	answer := send(t, view, &scriptedSender{}, "POST", "/services/records/lots", nil)
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	require.Equal(t, "not_run", errorType(answer.Body.String()))
}
