package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/admin/admintest"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/cli"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/rollout"
)

var start = time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)

type result struct {
	status   int
	out, err string
}

type operator struct {
	t       *testing.T
	control *admintest.Control
	url     string
	dir     string
}

func newOperator(t *testing.T) *operator {
	o := &operator{t: t, control: admintest.NewControl(), dir: t.TempDir()}
	log := logrus.New()
	log.SetOutput(t.Output())
	server, err := admin.New(admin.Options{
		Node: "entry-1", Control: o.control, Objects: o.control.Objects, Timing: rollout.DefaultTiming(), Log: log,
		Now:    func() time.Time { return start },
		Tokens: []admin.Token{{Name: "ana", Role: admin.RoleSigner, SHA256: bundle.Digest([]byte("secret"))}},
	})
	require.NoError(t, err)
	go func() { _ = server.Events(t.Context()) }()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	o.url = listener.URL
	t.Setenv(cli.EnvServer, o.url)
	o.write("token", "secret\n")
	o.write("guess", "guess\n")
	t.Setenv(cli.EnvTokenFile, o.path("token"))
	good, err := os.ReadFile("../bundle/testdata/good.yaml")
	require.NoError(t, err)
	o.write("good.yaml", string(good))
	o.write("bad.yaml", strings.NewReplacer("to: v2", "to: v9", "id: e2", "id: e1").Replace(string(good)))
	return o
}

func (o *operator) path(name string) string { return filepath.Join(o.dir, name) }

func (o *operator) write(name, body string) {
	require.NoError(o.t, os.WriteFile(o.path(name), []byte(body), 0o600))
}

func (o *operator) run(args ...string) result {
	root := cli.NewRoot()
	var out, err bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&err)
	status := cli.Run(o.t.Context(), root, args)
	return result{status, out.String(), err.String()}
}

// Guards against wrong exit statuses, on which operators' scripts depend, and
// against errors without a remedy.
func TestExitStatuses(t *testing.T) {
	o := newOperator(t)
	cases := []struct {
		name   string
		args   []string
		status int
		text   string
	}{
		{"unknown command", []string{"nonsense"}, 2, "unknown command"},
		{"group without subcommand", []string{"bundle"}, 2, "needs a subcommand"},
		{"unknown flag", []string{"status", "--colour"}, 2, "unknown flag"},
		{"missing argument", []string{"bundle", "check"}, 2, "accepts 1 arg"},
		{"missing reason", []string{"domain", "drain", "Celaya"}, 2, "reason"},
		{"wrong output form", []string{"status", "-o", "xml"}, 2, "use table or json"},
		{"missing file", []string{"bundle", "check", o.path("none")}, 2, "name a readable file"},
		{"faulty bundle", []string{"bundle", "check", o.path("bad.yaml")}, 2, "models[0].rollout.to"},
		{"faulty proposal", []string{"bundle", "propose", o.path("bad.yaml")}, 2, "upstreams[1].id"},
		{"valid bundle", []string{"bundle", "check", o.path("good.yaml")}, 0, "bundle 7 is valid"},
		{"no bundle yet", []string{"rollout", "status"}, 1, "no bundle is known"},
		{"status before a bundle", []string{"status"}, 0, "ready false"},
		{"missing token file", []string{"status", "--token-file", o.path("none")}, 2, "correct --token-file"},
		{"malformed token file", []string{"status", "--token-file", o.path("good.yaml")}, 2, "write the token alone"},
		{"wrong token", []string{"status", "--token-file", o.path("guess")}, 1, "bearer token is not known"},
		{"no server", []string{"status", "--server", "http://127.0.0.1:1"}, 1, "check the administration address"},
		{"completion", []string{"completion", "bash"}, 0, "bash completion"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := o.run(tc.args...)
			require.Equal(t, tc.status, r.status, r.err)
			require.Contains(t, r.out+r.err, tc.text)
		})
	}
}

// Guards against a command that does not reach its route or does not print
// what the operator has to decide on.
func TestOperatorsDay(t *testing.T) {
	o := newOperator(t)
	step := func(status int, text string, args ...string) {
		r := o.run(args...)
		require.Equal(t, status, r.status, "%v: %s", args, r.err)
		require.Contains(t, r.out+r.err, text, "%v", args)
	}
	step(0, "+ upstreams[e1]", "bundle", "propose", o.path("good.yaml"))
	step(0, "promote by 2026-06-01T05:59:54Z", "bundle", "roll", o.path("good.yaml"))
	step(1, "another change came first", "bundle", "sign-off", o.control.View().Head.BundleDigest, "--epoch", "0")
	step(0, "no changes", "bundle", "diff", o.control.View().Head.BundleDigest)
	step(0, "rollout:", "bundle", "show")
	step(0, "sign_off", "bundle", "history")
	step(0, "pending", "rollout", "status", "gate-8b")
	step(0, "dry run", "domain", "drain", "Celaya", "--reason", "landlord", "--dry-run")
	step(0, "takes no new work", "domain", "drain", "Celaya", "--reason", "landlord")
	step(0, "ana: landlord", "status")
	step(1, "drain with force", "upstream", "drain", "e2", "--reason", "fan")
	step(0, "takes no new work", "upstream", "drain", "e2", "--reason", "fan", "--force")
	step(0, "epoch 2 is in force", "domain", "return", "Celaya")
	step(0, "epoch 3 is in force", "upstream", "return", "e2", "--epoch", "2")
	step(0, "return_upstream", "audit", "--limit", "1")
	step(0, "withdrawn gate-8b@v2", "rollout", "withdraw", "gate-8b", "--reason", "wrong")
	step(0, "no rollout to withdraw", "bundle", "withdraw", "--reason", "wrong")
	var status admin.Status
	require.NoError(t, json.Unmarshal([]byte(o.run("status", "-o", "json").out), &status))
	require.Equal(t, rollout.PhaseWithdrawn, status.Rollouts[0].Phase)
}

// Guards against a watch that never ends, or that hides a withdrawal from a
// script.
func TestWatchEndsWithTheRollout(t *testing.T) {
	o := newOperator(t)
	require.Zero(t, o.run("bundle", "roll", o.path("good.yaml")).status)
	complete := func(h facts.Head) facts.Head {
		h.Rollouts = map[core.ModelID]facts.RolloutState{"gate-8b": {Stage: facts.StagePromoted, Share: 1}}
		return h
	}
	changed := make(chan error, 1)
	go func() { changed <- o.control.SetRollouts(t.Context(), "done", complete) }()
	r := o.run("rollout", "watch")
	require.NoError(t, <-changed)
	require.Zero(t, r.status, r.err)
	require.Contains(t, r.out, "done")
	require.Zero(t, o.run("bundle", "withdraw", "--reason", "wrong").status)
	r = o.run("rollout", "watch")
	require.Equal(t, 1, r.status)
	require.Contains(t, r.err, "gate-8b@v2 was withdrawn: ana: wrong")
}

// Guards against commands without help or example.
func TestEveryCommandHasAnExample(t *testing.T) {
	var check func(*cobra.Command)
	check = func(c *cobra.Command) {
		require.NotEmpty(t, c.Short, c.CommandPath())
		if !c.HasSubCommands() {
			require.Contains(t, c.Example, c.CommandPath())
		}
		for _, child := range c.Commands() {
			check(child)
		}
	}
	check(cli.NewRoot())
}
