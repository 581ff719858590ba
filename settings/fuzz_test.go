package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/settings"
)

// Guards against a settings file that makes a daemon panic, and against an
// error that does not say that the file is at fault.
func FuzzLoad(f *testing.F) {
	agent := strings.Replace(entryYAML, "callers:", "upstream: {id: u1, url: http://127.0.0.1:9100}\ncallers:", 1)
	for _, seed := range []string{
		entryYAML, agent, "", "callers:  ! ", "failure_domains:  ! ", "upstream:  ! ", "callers: &a [*a]\n", "upstream: &a {a: *a}\n", "node: [", "node: &a [*a]\n", "? : ?", "a: !!binary x", "- - -", "{{{{", "upstream:\n  <<: *x\n", "\x00", "node: 1e999999\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		file := write(t, string(body))
		_, entryErr := settings.LoadEntry(file)
		_, agentErr := settings.LoadAgent(file)
		_, checkErr := settings.Check(file)
		for _, err := range []error{entryErr, agentErr, checkErr} {
			require.True(t, err == nil || errs.Is(err, errs.Invalid), "%v", err)
		}
	})
}
