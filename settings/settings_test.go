package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/settings"
)

const entryYAML = `node: entry-1
failure_domain: celaya
failure_domains: [celaya, salamanca]
callers: {address: "127.0.0.1:8080"}
inner: {address: "127.0.0.1:8081"}
admin: {address: "127.0.0.1:8082"}
platform:
  table_url: http://127.0.0.1:9000
  table_name: waxwingtide
  objects_url: http://127.0.0.1:9001
  bucket: waxwingtide
  members_url: http://127.0.0.1:9002/members
  access_key: key
  secret_key_file: secret.txt
`

func write(t *testing.T, body string) string {
	file := filepath.Join(t.TempDir(), "entry.yaml")
	require.NoError(t, os.WriteFile(file, []byte(body), 0o600))
	return file
}

// Guards against settings errors that do not tell the operator which file and
// key is wrong and what to do.
func TestEntryFaults(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     []string
	}{
		"unknown key":        {"node:", "nodes: x\nnode:", []string{"nodes", "unknown field", "docs/settings.md"}},
		"bad address":        {`"127.0.0.1:8080"`, `localhost`, []string{"callers.address", "localhost", "numeric IP"}},
		"no failure domain":  {"failure_domain: celaya\n", "", []string{"failure_domain: is missing", "set it"}},
		"unlisted domain":    {"failure_domain: celaya", "failure_domain: irapuato", []string{"failure_domain", "not in failure_domains", "add it"}},
		"bad URL":            {"http://127.0.0.1:9000", "nowhere", []string{"platform.table_url", "HTTP URL"}},
		"wrong type":         {"failure_domains: [celaya, salamanca]", "failure_domains: 3", []string{"docs/settings.md"}},
		"not YAML":           {"node: entry-1", "node: [", []string{"yaml"}},
		"bad level":          {"node: entry-1", "log: {level: loud}\nnode: entry-1", []string{"log.level", "debug info warning error"}},
		"two faults at once": {"node: entry-1\nfailure_domain: celaya\n", "", []string{"node: is missing", "failure_domain: is missing"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			body := strings.Replace(entryYAML, c.old, c.new, 1)
			require.NotEqual(t, entryYAML, body)
			file := write(t, body)
			_, err := settings.LoadEntry(file)
			require.Error(t, err)
			require.True(t, errs.Is(err, errs.Invalid))
			require.Contains(t, err.Error(), file)
			for _, part := range c.want {
				require.Contains(t, err.Error(), part)
			}
		})
	}
	_, err := settings.LoadEntry(filepath.Join(t.TempDir(), "none.yaml"))
	require.ErrorContains(t, err, "none.yaml")
}

// Guards against a valid file that is refused or misses its defaults, and
// against a check that takes a file for the wrong program.
func TestLoadAndCheck(t *testing.T) {
	s, err := settings.LoadEntry(write(t, entryYAML))
	require.NoError(t, err)
	require.Equal(t, settings.DefaultTimeout, s.Limits.Timeout)
	require.Equal(t, "cost", s.Routing.Policy)

	agentYAML := strings.Replace(entryYAML, "callers: {address: \"127.0.0.1:8080\"}\n", "", 1) +
		"upstream: {id: eng-1, kind: engine, url: \"http://127.0.0.1:7000\"}\n"
	for want, body := range map[string]string{"waxwing-entry": entryYAML, "waxwing-agent": agentYAML} {
		program, err := settings.Check(write(t, body))
		require.NoError(t, err)
		require.Equal(t, want, program)
	}
}
