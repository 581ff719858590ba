package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/settings"
)

func frontFile(t *testing.T, edit func(string) string) string {
	t.Helper()
	body, err := os.ReadFile("../examples/front.yaml")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "front.yaml")
	require.NoError(t, os.WriteFile(file, []byte(edit(string(body))), 0o600))
	return file
}

// Guards against an example that does not load and defaults that are missing.
func TestFrontExample(t *testing.T) {
	file := frontFile(t, func(s string) string { return s })
	s, err := settings.LoadFront(file)
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, s.Bounds.Lease)
	require.InDelta(t, settings.DefaultLoadShare, s.Weights.LoadShare, 0)
	program, err := settings.Check(file)
	require.NoError(t, err)
	require.Equal(t, "waxwing-front", program)
	require.True(t, s.Cloud.Performs(settings.DutyUsage))
	require.False(t, s.Cloud.Performs(settings.DutyAutoscale))
}

// Guards against a front that performs duties in a deployment without them.
func TestFrontWithoutDuties(t *testing.T) {
	s, err := settings.LoadFront(frontFile(t, func(s string) string { return s[:strings.Index(s, "cloud:")] }))
	require.NoError(t, err)
	require.Nil(t, s.Cloud)
	require.False(t, s.Cloud.Performs(settings.DutyUsage))
}

// Guards against a front that starts with settings that are wrong or missing.
func TestFrontFaults(t *testing.T) {
	replace := func(old, by string) func(string) string {
		return func(s string) string { return strings.Replace(s, old, by, 1) }
	}
	cases := map[string]struct {
		edit func(string) string
		key  string
	}{
		"no node":          {replace("node: front-celaya-1", "node: \"\""), "node"},
		"address":          {replace("127.0.0.1:8749", "celaya"), "callers"},
		"seed":             {replace("127.0.0.1:8746", "seed"), "seeds"},
		"store":            {replace(`store: "127.0.0.1:8744"`, ""), "store"},
		"unknown key":      {replace("memory:", "memry:"), "memry"},
		"mode":             {replace("mode: keep", "mode: drop"), "mode"},
		"short lease":      {replace("lease: 3000ms", "lease: 3ms"), "lease"},
		"negative slack":   {replace("cold_slack: 5", "cold_slack: -1"), "cold_slack"},
		"no retry window":  {replace("retry_window: 10s", ""), "retry_window"},
		"share above one":  {replace("memory:", "autoscale: {utilization: 1.5}\nmemory:"), "autoscale.utilization"},
		"domain twice":     {replace("memory:", "autoscale: {failure_domains: [a, a]}\nmemory:"), "autoscale.failure_domains"},
		"negative loss":    {replace("memory:", "autoscale: {lost_domains: -1}\nmemory:"), "autoscale.lost_domains"},
		"grace of no time": {replace("grace: 8s", "grace: 0s"), "grace"},
		"cloud address":    {replace("127.0.0.1:8747", "cloud"), "cloud.address"},
		"no rate of calls": {replace("calls_per_second: 50", "calls_per_second: 0"), "calls_per_second"},
		"no usage window":  {replace("usage_window: 5s", ""), "usage_window"},
		"short usage due":  {replace("usage_due: 10s", "usage_due: 10ms"), "usage_due"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.LoadFront(frontFile(t, c.edit))
			require.Error(t, err)
			require.True(t, errs.Is(err, errs.Invalid))
			require.Contains(t, err.Error(), c.key)
		})
	}
}
