package bundle

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
)

func goodBody(t testing.TB) string {
	body, err := os.ReadFile("testdata/good.yaml")
	require.NoError(t, err)
	return string(body)
}

// Guards against a document that changes when it is encoded and read back.
func TestEncodeRoundTrip(t *testing.T) {
	b, err := Parse([]byte(goodBody(t)))
	require.NoError(t, err)
	body, err := b.Encode()
	require.NoError(t, err)
	again, err := Parse(body)
	require.NoError(t, err)
	require.Equal(t, b, again)
	require.Empty(t, Diff(b, again))
	require.Empty(t, b.Warnings())
	stored, err := b.Canonical()
	require.NoError(t, err)
	decoded, err := Decode(stored, Digest(stored))
	require.NoError(t, err)
	require.Equal(t, b, decoded)
	_, err = Decode(stored, Digest(body))
	require.True(t, errs.Is(err, errs.Corrupt), "%v", err)
}

// Guards against unreadable input that is accepted or reported as another kind.
func TestParseRefusesMalformedDocuments(t *testing.T) {
	good := goodBody(t)
	cases := map[string]string{
		"empty":             "",
		"unknown key":       good + "colour: red\n",
		"duplicate key":     good + "version: \"8\"\n",
		"second document":   good + "---\nversion: \"8\"\n",
		"alias":             strings.Replace(good, "versions: [v1, v2]", "versions: [&x v1, *x]", 1),
		"nested brackets":   "version: " + strings.Repeat("[", 1000),
		"wrong type":        strings.Replace(good, "max_window: 8", "max_window: many", 1),
		"more than allowed": strings.Repeat("#", MaxBytes+1),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(body))
			require.True(t, errs.Is(err, errs.Invalid), "%v", err)
		})
	}
}

// Guards against a fault that is missed or reported under another path.
func TestValidateNamesEachFault(t *testing.T) {
	cases := []struct{ name, old, new, path string }{
		{"rollout to unlisted version", "to: v2", "to: v9", "models[0].rollout.to"},
		{"rollout to stable version", "to: v2", "to: v1", "models[0].rollout.to"},
		{"stable version unlisted", "stable: v1", "stable: v0", "models[0].stable"},
		{"share above bound", "canary_share: 0.25", "canary_share: 0.75", "models[0].rollout.canary_share"},
		{"canary on every engine", "canary_upstreams: 1", "canary_upstreams: 2", "models[0].rollout.canary_upstreams"},
		{"duplicate upstream", "id: e2", "id: e1", "upstreams[1].id"},
		{"duplicate agent", "127.0.0.1:7002", "127.0.0.1:7001", "upstreams[1].agent"},
		{"agent without port", "127.0.0.1:7002", "127.0.0.1", "upstreams[1].agent"},
		{"unknown model", "model: gate-8b, max_window: 8}\n  - {id: r1", "model: other, max_window: 8}\n  - {id: r1", "upstreams[1].model"},
		{"failure domain missing", "failure_domain: Salamanca, ", "", "upstreams[1].failure_domain"},
		{"failure domain with a slash", "Salamanca", "a/b", "upstreams[1].failure_domain"},
		{"unknown service", "service: gate-log", "service: other", "upstreams[2].service"},
		{"service without upstream", "service: gate-log", "service: other", "services[0]"},
		{"engine with service", "model: gate-8b, max_window: 8}\n  - {id: r1", "model: gate-8b, service: gate-log, max_window: 8}\n  - {id: r1", "upstreams[1].service"},
		{"call rule without path", "POST /applications", "POST", "services[0].non_repeatable[0]"},
		{"unknown adapter", "adapters: [celaya]\n    services", "adapters: [leon]\n    services", "workspaces[0].adapters[0]"},
		{"workspace of unknown model", "models: [gate-8b]", "models: [other]", "workspaces[0].models[0]"},
		{"key of two callers", "callers: [", "callers: [{id: crew-0, key_sha256: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA}, ", "workspaces[0].callers[1].key_sha256"},
		{"short key", "key_sha256: aaaa", "key_sha256: aaa", "workspaces[0].callers[0].key_sha256"},
		{"version with a separator", "versions: [v1, v2]", "versions: [v1, v2, a@b]", "models[0].versions[2]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			body := strings.Replace(goodBody(t), tc.old, tc.new, 1)
			_, err := Parse([]byte(body))
			require.True(t, errs.Is(err, errs.Invalid), "%v", err)
			paths := make([]string, 0, 2)
			for _, f := range FaultsOf(err) {
				require.NotEmpty(t, f.Remedy)
				paths = append(paths, f.Path)
			}
			require.Contains(t, paths, tc.path)
		})
	}
}

// Guards against stopping at the first fault.
func TestValidateReportsEveryFault(t *testing.T) {
	body := strings.NewReplacer("to: v2", "to: v9", "id: e2", "id: e1", "models: [gate-8b]", "models: [other]").Replace(goodBody(t))
	_, err := Parse([]byte(body))
	require.GreaterOrEqual(t, len(FaultsOf(err)), 3)
}

// Guards against changes that an operator would not see before signing off.
func TestDiffNamesEntriesByIdentifier(t *testing.T) {
	from, err := Parse([]byte(goodBody(t)))
	require.NoError(t, err)
	to, err := Parse([]byte(strings.NewReplacer(
		`version: "7"`, `version: "8"`, "versions: [v1, v2]", "versions: [v1, v2, v3]",
		"id: r1", "id: r2", "canary_share: 0.25", "canary_share: 0.1").Replace(goodBody(t))))
	require.NoError(t, err)
	var lines []string
	for _, c := range Diff(from, to) {
		lines = append(lines, c.String())
	}
	require.Equal(t, []string{
		"~ version 7 -> 8",
		"+ models[gate-8b].versions v3",
		"~ models[gate-8b].rollout.canary_share 0.25 -> 0.1",
		"- upstreams[r1] {id: r1, kind: service, agent: 127.0.0.1:7003, failure_domain: Irapuato, service: gate-log, max_window: 64}",
		"+ upstreams[r2] {id: r2, kind: service, agent: 127.0.0.1:7003, failure_domain: Irapuato, service: gate-log, max_window: 64}",
	}, lines)
	require.NotEmpty(t, Diff(nil, to))
}

// Guards against panics and against accepted documents that do not survive a
// round trip.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodBody(f)))
	f.Add([]byte("version: [[[["))
	f.Add([]byte("models:\n  - id: a\n    rollout: {deadline: 0}\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		b, err := Parse(body)
		if err != nil {
			require.True(t, errs.Is(err, errs.Invalid), "%v", err)
			return
		}
		encoded, err := b.Encode()
		require.NoError(t, err)
		again, err := Parse(encoded)
		require.NoError(t, err)
		require.Empty(t, Diff(b, again))
	})
}
