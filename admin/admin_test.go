package admin_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/admin/admintest"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/rollout"
)

var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// document is a bundle of two models' engines in two failure domains.
func document(version, stable, rolloutTo string) []byte {
	plan := ""
	if rolloutTo != "" {
		plan = fmt.Sprintf("    rollout: {to: %s, canary_share: 0.25, canary_upstreams: 1, deadline: %s}\n", rolloutTo, start.Add(time.Minute).Format(time.RFC3339))
	}
	return []byte(fmt.Sprintf(`version: "%s"
models:
  - id: gate
    versions: [v1, v2, v3]
    stable: %s
%supstreams:
  - {id: e1, kind: engine, agent: "127.0.0.1:7001", failure_domain: Celaya, model: gate, max_window: 8}
  - {id: e2, kind: engine, agent: "127.0.0.1:7002", failure_domain: Salamanca, model: gate, max_window: 8}
workspaces:
  - id: crews
    callers: [{id: c1, key_sha256: %s}]
    models: [gate]
`, version, stable, plan, strings.Repeat("a", 64)))
}

type fixture struct {
	control *admintest.Control
	server  *admin.Server
	url     string
	now     time.Time
}

func newFixture(t *testing.T, notices *admin.Notices) *fixture {
	f := &fixture{control: admintest.NewControl(), now: start}
	log := logrus.New()
	log.SetOutput(t.Output())
	var tokens []admin.Token
	for _, role := range []admin.Role{admin.RoleViewer, admin.RoleOperator, admin.RoleSigner} {
		tokens = append(tokens, admin.Token{Name: role.String(), Role: role, SHA256: bundle.Digest([]byte(role.String()))})
	}
	server, err := admin.New(admin.Options{
		Node: "entry-1", Control: f.control, Objects: f.control.Objects, Tokens: tokens,
		Timing: rollout.DefaultTiming(), Log: log, Now: func() time.Time { return f.now }, Notices: notices,
	})
	require.NoError(t, err)
	f.server = server
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	f.url = listener.URL
	return f
}

func (f *fixture) client(role admin.Role) *admin.Client {
	return &admin.Client{BaseURL: f.url, Token: role.String()}
}

// signOff proposes a document and signs it off at the current epoch.
func (f *fixture) signOff(t *testing.T, body []byte) admin.Permission {
	c := f.client(admin.RoleSigner)
	p, err := c.Propose(t.Context(), body)
	require.NoError(t, err)
	permission, err := c.SignOff(t.Context(), p.Digest, p.Epoch, false)
	require.NoError(t, err)
	return permission
}

// Guards against a bundle that comes into force without all the steps, or that
// cannot be read back.
func TestBundleLifeCycle(t *testing.T) {
	f := newFixture(t, nil)
	c := f.client(admin.RoleSigner)
	require.EqualValues(t, 1, f.signOff(t, document("1", "v1", "")).Epoch)
	p, err := c.Propose(t.Context(), document("2", "v1", "v2"))
	require.NoError(t, err)
	require.Empty(t, p.Refusals)
	require.Len(t, p.Changes, 2)
	diff, err := c.DiffBundle(t.Context(), p.Digest, "")
	require.NoError(t, err)
	require.Equal(t, p.Changes, diff.Changes)
	permission, err := c.SignOff(t.Context(), p.Digest, 1, false)
	require.NoError(t, err)
	require.Len(t, permission.Plans, 1)
	shown, err := c.ShowBundle(t.Context(), "current")
	require.NoError(t, err)
	require.Equal(t, "2", shown.Version)
	page, err := c.History(t.Context(), "", 10)
	require.NoError(t, err)
	require.Len(t, page.Entries, 2)
	require.Equal(t, "signer", page.Entries[1].Actor)
	status, err := c.Rollout(t.Context(), "gate")
	require.NoError(t, err)
	require.Equal(t, rollout.PhasePending, status.Phase)
	_, err = c.ShowBundle(t.Context(), strings.Repeat("0", 64))
	require.True(t, errs.Is(err, errs.NotFound), "%v", err)
}

// Guards against faults that are lost between the server and the operator.
func TestProposeReturnsEveryFault(t *testing.T) {
	f := newFixture(t, nil)
	body := strings.NewReplacer("id: e2", "id: e1", "stable: v1", "stable: v9").Replace(string(document("1", "v1", "")))
	_, err := f.client(admin.RoleOperator).Propose(t.Context(), []byte(body))
	require.True(t, errs.Is(err, errs.Invalid), "%v", err)
	require.Len(t, bundle.FaultsOf(err), 2)
}

// Guards against the later of two racing operators silently replacing the
// change of the earlier one.
func TestRacingSignOffsGiveOneConflict(t *testing.T) {
	f := newFixture(t, nil)
	f.signOff(t, document("1", "v1", ""))
	c := f.client(admin.RoleSigner)
	var digests []string
	for _, version := range []string{"2", "3"} {
		p, err := c.Propose(t.Context(), document(version, "v1", ""))
		require.NoError(t, err)
		digests = append(digests, p.Digest)
	}
	results := make(chan error, 2)
	for _, digest := range digests {
		go func() {
			_, err := c.SignOff(context.Background(), digest, 1, false)
			results <- err
		}()
	}
	first, second := <-results, <-results
	if first == nil {
		first, second = second, first
	}
	require.NoError(t, second)
	require.True(t, errs.Is(first, errs.Conflict), "%v", first)
	current, ok := admin.CurrentEpoch(first)
	require.True(t, ok)
	require.EqualValues(t, 2, current)
	require.EqualValues(t, 2, f.control.View().Head.Epoch)
}

// Guards against a permission that takes effect twice, or is reported as a
// conflict with itself, when its answer is lost.
func TestLostAnswerIsRepeatedOnce(t *testing.T) {
	f := newFixture(t, nil)
	c := f.client(admin.RoleSigner)
	p, err := c.Propose(t.Context(), document("1", "v1", ""))
	require.NoError(t, err)
	f.control.LoseAnswers.Store(1)
	permission, err := c.SignOff(t.Context(), p.Digest, 0, false)
	require.NoError(t, err)
	require.EqualValues(t, 1, permission.Epoch)
	require.EqualValues(t, 1, f.control.View().Head.Epoch)
}

// Guards against sign-offs that move traffic without a canary, that cannot
// meet their deadline, or that bring a withdrawn version back unasked.
func TestSignOffRefusals(t *testing.T) {
	f := newFixture(t, nil)
	c := f.client(admin.RoleSigner)
	f.signOff(t, document("1", "v1", ""))
	attempt := func(body []byte, retry bool) error {
		p, err := c.Propose(t.Context(), body)
		require.NoError(t, err)
		_, err = c.SignOff(t.Context(), p.Digest, p.Epoch, retry)
		return err
	}
	require.ErrorContains(t, attempt(document("2", "v2", ""), false), "without a canary")
	f.now = start.Add(55 * time.Second)
	require.ErrorContains(t, attempt(document("2", "v1", "v2"), false), "set the deadline to")
	f.now = start
	require.NoError(t, attempt(document("2", "v1", "v2"), false))
	_, err := c.Withdraw(t.Context(), "gate", "wrong answers")
	require.NoError(t, err)
	require.NoError(t, attempt(document("3", "v1", ""), false))
	require.ErrorContains(t, attempt(document("4", "v1", "v2"), false), "gate@v2 is withdrawn")
	require.NoError(t, attempt(document("4", "v1", "v2"), true))
	require.True(t, f.control.View().VersionAllowed("gate", "v2"))
	complete := func(h facts.Head) facts.Head {
		h.Rollouts = map[core.ModelID]facts.RolloutState{"gate": {Stage: facts.StagePromoted, Share: 1}}
		return h
	}
	require.NoError(t, f.control.SetRollouts(t.Context(), "done", complete))
	require.NoError(t, attempt(document("5", "v2", ""), false))
	require.Empty(t, f.control.View().Head.Rollouts)
}

// Guards against drains that need the table or hide what will be shed, and
// against returns that take effect without a permission.
func TestDrainAndReturn(t *testing.T) {
	f := newFixture(t, nil)
	f.signOff(t, document("1", "v1", ""))
	f.control.Load = []admin.UpstreamLoad{{Upstream: "e1", Running: 7}, {Upstream: "e2", Running: 4, Queued: 1}}
	f.control.TableAway.Store(true)
	c := f.client(admin.RoleOperator)
	dry, err := c.DrainDomain(t.Context(), "Celaya", admin.Reason{Reason: "maintenance", DryRun: true})
	require.NoError(t, err)
	require.Equal(t, []admin.Room{{Kind: "model", Name: "gate", Upstreams: 1, Capacity: 8, Load: 12, Shed: 4}}, dry.Rooms)
	require.Empty(t, f.control.View().Restrictions)
	drain, err := c.DrainDomain(t.Context(), "Celaya", admin.Reason{Reason: "maintenance"})
	require.NoError(t, err)
	require.True(t, drain.Applied)
	require.False(t, f.control.View().UpstreamAllowed(f.control.View().Index.Upstreams["e1"]))
	_, err = c.DrainUpstream(t.Context(), "e2", admin.Reason{Reason: "fan"})
	require.ErrorContains(t, err, "no open upstream left")
	_, err = c.ReturnDomain(t.Context(), "Celaya", 1)
	require.True(t, errs.Is(err, errs.Unavailable), "%v", err)
	f.control.TableAway.Store(false)
	_, err = c.ReturnDomain(t.Context(), "Celaya", 0)
	require.True(t, errs.Is(err, errs.Conflict), "%v", err)
	_, err = c.ReturnDomain(t.Context(), "Celaya", 1)
	require.NoError(t, err)
	require.True(t, f.control.View().UpstreamAllowed(f.control.View().Index.Upstreams["e1"]))
	require.EqualValues(t, 2, f.control.View().Head.ClearedAt[facts.Subject{Kind: facts.SubjectDomain, Name: "Celaya"}])
	_, err = c.DrainUpstream(t.Context(), "e9", admin.Reason{Reason: "fan"})
	require.True(t, errs.Is(err, errs.NotFound), "%v", err)
	_, err = c.DrainUpstream(t.Context(), "e2", admin.Reason{})
	require.ErrorContains(t, err, "state a reason")
	_, err = c.DrainUpstream(t.Context(), "e2", admin.Reason{Reason: strings.Repeat("x", 1<<17)})
	require.ErrorContains(t, err, "body has more than")
}

// Guards against a route that is open without a token, or to a lower role.
func TestRoles(t *testing.T) {
	f := newFixture(t, nil)
	for _, rt := range f.server.RouteList() {
		path := strings.NewReplacer(":digest", "current", ":model", "gate", ":name", "x").Replace(rt.Path)
		request := func(token string) int {
			// A context that has ended keeps the event stream from waiting.
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			r := httptest.NewRequestWithContext(ctx, rt.Method, admin.Prefix+path, nil)
			if token != "" {
				r.Header.Set("Authorization", "Bearer "+token)
			}
			w := httptest.NewRecorder()
			f.server.ServeHTTP(w, r)
			return w.Code
		}
		require.Equal(t, http.StatusUnauthorized, request(""), path)
		require.Equal(t, http.StatusUnauthorized, request("guess"), path)
		for role := admin.RoleViewer; role <= admin.RoleSigner; role++ {
			require.Equal(t, role < rt.Role, request(role.String()) == http.StatusForbidden, "%s %s", path, role)
		}
	}
}

// Guards against routes that the description lacks, and described routes that
// do not exist.
func TestOpenAPIListsEveryRoute(t *testing.T) {
	body, err := os.ReadFile("../docs/openapi.yaml")
	require.NoError(t, err)
	var doc struct {
		Paths map[string]map[string]struct {
			Description string `yaml:"description"`
		} `yaml:"paths"`
	}
	require.NoError(t, yaml.Unmarshal(body, &doc))
	described := 0
	for _, methods := range doc.Paths {
		described += len(methods)
	}
	routes := newFixture(t, nil).server.RouteList()
	require.Equal(t, len(routes), described)
	for _, rt := range routes {
		path := "/" + strings.NewReplacer(":digest", "{digest}", ":model", "{model}", ":name", "{name}").Replace(rt.Path)
		text := doc.Paths[path][strings.ToLower(rt.Method)].Description
		require.Contains(t, text, "Role "+rt.Role.String(), "%s %s", rt.Method, path)
	}
}

// Guards against a graceful shutdown that waits for watchers.
func TestWatchEndsWithTheDuty(t *testing.T) {
	f := newFixture(t, nil)
	f.signOff(t, document("1", "v1", "v2"))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.server.Events(ctx) }()
	err := f.client(admin.RoleViewer).Watch(t.Context(), func(admin.Event) error {
		cancel()
		return nil
	})
	require.True(t, errs.Is(err, errs.Unavailable), "%v", err)
}

// Guards against watchers that miss restrictions or changes of the head.
func TestWatch(t *testing.T) {
	f := newFixture(t, nil)
	f.signOff(t, document("1", "v1", "v2"))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.server.Events(ctx) }()
	var types []string
	errEnough := errs.New(errs.Internal, "", "enough")
	err := f.client(admin.RoleViewer).Watch(t.Context(), func(e admin.Event) error {
		types = append(types, e.Type)
		switch {
		case len(types) == 1:
			// The first event comes before the duty knows the watcher.
			_, err := f.client(admin.RoleOperator).Withdraw(t.Context(), "gate", "wrong answers")
			return err
		case e.Type == admin.EventRollout && e.Rollout.Phase == rollout.PhaseWithdrawn:
			return errEnough
		}
		return nil
	})
	require.ErrorIs(t, err, errEnough)
	require.Contains(t, types, admin.EventRestricted)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}
