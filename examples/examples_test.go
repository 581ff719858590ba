package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/settings"
)

// Guards against example files that the programs refuse, for example after a
// key was renamed, and against a new example that nothing loads.
func TestExamplesLoad(t *testing.T) {
	programs := map[string]string{
		"entry-a.yaml": "waxwing-entry", "entry-b.yaml": "waxwing-entry", "front.yaml": "waxwing-front",
		"agent-a.yaml": "waxwing-agent", "agent-b.yaml": "waxwing-agent",
	}
	bundles := map[string]string{
		"bundle-a.yaml": "POST /applications", "bundle-b.yaml": "POST /bookings",
	}
	for file, want := range programs {
		program, err := settings.Check(file)
		require.NoError(t, err, file)
		require.Equal(t, want, program, file)
	}
	for file, call := range bundles {
		body, err := os.ReadFile(file)
		require.NoError(t, err)
		b, err := bundle.Parse(body)
		require.NoError(t, err, file)
		require.Equal(t, []string{call}, b.Services[0].NonRepeatable, file)
	}
	files, err := filepath.Glob("*.yaml")
	require.NoError(t, err)
	const workloads = 2 // deployment-a.yaml and deployment-b.yaml, which package dev reads
	require.Len(t, files, len(programs)+len(bundles)+workloads)
}
