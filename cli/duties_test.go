package cli_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cli"
	"waxwingtide.example/waxwingtide/singleton/dutystatus"
)

// Guards against a command that hides which front holds a duty, since when, or what it did
// last, and against one that reports success without a front.
func TestDuties(t *testing.T) {
	since := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	status := dutystatus.Front{Node: "front-a", Duties: []dutystatus.Duty{
		{Subject: "usage", Fence: 7, HeldSince: since, Usage: &dutystatus.Usage{Window: 12, Calls: 34, SentAt: since.Add(time.Minute), Late: true}},
		{Subject: "scale/svc/z1", Fence: 8, HeldSince: since, Upstreams: &dutystatus.Upstreams{Ordered: 4, Desired: 5, Listed: 3, Reason: "foreseen", LastChange: "recede", Uncertain: true}},
		{Subject: "scale/svc/z2", Fence: 9, HeldSince: since},
	}}
	server := httptest.NewServer(dutystatus.Handler(func() dutystatus.Front { return status }, http.NotFoundHandler()))
	defer server.Close()
	run := func(arguments ...string) (string, int) {
		root := cli.NewRoot()
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&bytes.Buffer{})
		exit := cli.Run(t.Context(), root, append([]string{"duties"}, arguments...))
		return out.String(), exit
	}
	table, exit := run("--front", server.Listener.Addr().String())
	require.Equal(t, cli.ExitOK, exit)
	for _, line := range []string{
		`usage +front-a +7 +2026-01-02T03:04:05Z +window 12 with 34 calls, sent 2026-01-02T03:05:05Z \(late\)`,
		`scale/svc/z1 +front-a +8 +2026-01-02T03:04:05Z +desired 5 \(foreseen\), ordered 4 \(last change: recede\), listed 3, result of the last order unknown`,
		`scale/svc/z2 +front-a +9 +2026-01-02T03:04:05Z +-`,
	} {
		require.Regexp(t, line, table)
	}
	json, exit := run("--front", server.Listener.Addr().String(), "-o", "json")
	require.Equal(t, cli.ExitOK, exit)
	require.Contains(t, json, `"last_change": "recede"`)
	_, exit = run()
	require.Equal(t, cli.ExitInvalid, exit)
	_, exit = run("--front", "127.0.0.1:1")
	require.Equal(t, cli.ExitFailure, exit)
}
