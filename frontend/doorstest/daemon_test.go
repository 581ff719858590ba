package doorstest

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"

	"waxwingtide.example/waxwingtide/standin"
)

// daemonMachine is what a test grants an entry or an agent. The limits of their heads are
// larger than those of a front.
var daemonMachine = machine{memoryMB: 128, maxFDs: maxFDs}

// daemonDoors are the doors of an entry. An agent has no callers.
var daemonDoors = []door{
	{"callers", func(f *front) string { return f.callers }, "/v1/completions"},
	{"services", func(f *front) string { return f.callers }, "/svc/x"},
	{"administration API", func(f *front) string { return f.readiness }, "/v1/bundles"},
	{"readiness", func(f *front) string { return f.readiness }, "/readyz"},
	{"metrics", func(f *front) string { return f.readiness }, "/metrics"},
	{"inner protocol", func(f *front) string { return f.inner }, "/"},
}

// startDaemon starts an entry or an agent whose platform is away, and waits until its
// health check succeeds.
func startDaemon(t *testing.T, program string) *front {
	t.Helper()
	f := &front{
		t: t, callers: freeAddress(), readiness: freeAddress(), inner: freeAddress(), server: standin.NewPlatformServer("unused"),
		ended: make(chan struct{}),
	}
	dir := t.TempDir()
	secret := filepath.Join(dir, "secret")
	require.NoError(t, os.WriteFile(secret, []byte("secret"), 0o600))
	away := "http://" + freeAddress()
	settings := fmt.Sprintf(`
node: node-1
failure_domain: z1
failure_domains: [z1]
inner: {address: %q}
admin: {address: %q}
platform: {table_url: %q, table_name: t, objects_url: %q, bucket: b, members_url: %q, access_key: a, secret_key_file: %q}
`, f.inner, f.readiness, away, away, away, secret)
	if program == "waxwing-agent" {
		settings += fmt.Sprintf("upstream: {id: engine-1, kind: engine, url: %q}\n", away)
	} else {
		settings += fmt.Sprintf("callers: {address: %q}\n", f.callers)
	}
	f.run(daemonMachine, program, settings)
	f.requireHealthy()
	return f
}

// requireHealthy checks that the health check succeeds, with a new connection each time.
func (f *front) requireHealthy() {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	require.Eventually(f.t, func() bool {
		resp, err := client.Get("http://" + f.readiness + "/healthz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 100*time.Millisecond, "the health check is not answered")
}

// requireAnswered checks that a request of a caller reaches the entry, which explains in
// the body that it refuses it without a bundle in force.
func (f *front) requireAnswered() {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	require.Eventually(f.t, func() bool {
		resp, err := client.Post("http://"+f.callers+"/v1/completions", "application/json", strings.NewReader("{}"))
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		return err == nil && strings.HasPrefix(string(text), `{"error"`)
	}, testTimeout, 100*time.Millisecond, "an ordinary request is not answered")
}

// testDaemons plays a crowd at each door of an entry and an agent.
func testDaemons(t *testing.T, c crowd) {
	t.Helper()
	for _, program := range []string{"waxwing-entry", "waxwing-agent"} {
		for _, d := range daemonDoors {
			if hasCallers := program == "waxwing-entry"; !hasCallers && d.address(&front{callers: "callers"}) == "callers" {
				continue
			}
			t.Run(program+", "+d.name, func(t *testing.T) {
				f := startDaemon(t, program)
				end := c.play(t.Context(), f, d)
				defer end()
				f.requireAlive()
				f.requireHealthy()
				if program == "waxwing-entry" {
					f.requireAnswered()
				}
				f.requireWithinMachine(daemonMachine)
			})
		}
	}
}

// Guards against heads with very many short fields that exhaust the memory of an entry or
// an agent together.
func TestDaemonCrowdOfManyShortFields(t *testing.T) {
	testDaemons(t, crowd{fieldsCrowd, func(c *client) {
		c.send(c.head(http.MethodPost) + fields(4*fieldsBytes) + "\r")
	}})
}

// Guards against connections to an entry or an agent that stop half-way and use up its
// descriptors.
func TestDaemonCrowdOfHalfWayStops(t *testing.T) {
	testDaemons(t, crowd{connectionCrowd, func(c *client) {
		text := c.head(http.MethodPost) + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 50)
		c.send(text[:c.number%3*len(text)/2])
	}})
}

// Guards against messages of the inner protocol that do not end.
func TestDaemonCrowdOfUnfinishedMessages(t *testing.T) {
	const messageBytes, frameBytes = 4 << 20, 32 << 10
	inner := daemonDoors[len(daemonDoors)-1]
	for _, program := range []string{"waxwing-entry", "waxwing-agent"} {
		t.Run(program, func(t *testing.T) {
			f := startDaemon(t, program)
			end := crowd{innerCrowd, func(c *client) {
				var text []byte
				for len(text) < messageBytes {
					text = drpcwire.AppendFrame(text, drpcwire.Frame{
						ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: make([]byte, frameBytes),
					})
				}
				c.send(string(text))
			}}.play(t.Context(), f, inner)
			defer end()
			f.requireAlive()
			f.requireHealthy()
			f.requireWithinMachine(daemonMachine)
		})
	}
}
