package dev

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/settings"
)

const (
	crowdClients   = 64
	crowdBodyBytes = 2 << 20
)

// holdBodies opens connections to an entry that send all of a body but the last byte and
// stay open until release is called. It returns when all have stopped sending.
func holdBodies(t *testing.T, address, path, key string) (release func()) {
	t.Helper()
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nIdempotency-Key: crowd\r\nContent-Length: %d\r\n\r\n", path, key, crowdBodyBytes) +
		strings.Repeat("x", crowdBodyBytes-1)
	var group conc.WaitGroup
	var conns []net.Conn
	for range crowdClients {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		conns = append(conns, conn)
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(5*time.Second)))
		group.Go(func() { _, _ = io.WriteString(conn, text) }) // the entry may refuse the body
	}
	group.Wait()
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// readMetric returns the value of a metric of a process.
func readMetric(t *testing.T, u *unit, name string) float64 {
	t.Helper()
	resp, err := http.Get("http://" + u.addresses[1] + "/metrics")
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	require.NoError(t, err)
	line := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + `[^}]*\} (\S+)$`).FindSubmatch(text)
	require.NotNil(t, line, name)
	value, err := strconv.ParseFloat(string(line[1]), 64)
	require.NoError(t, err)
	return value
}

// refusalTimeout is the time in which an entry refuses bodies that were sent. It is reached
// only by an entry that refuses none.
const refusalTimeout = 30 * time.Second

// Guards against callers with a key whose bodies do not end and take the memory or the
// service of others, at the entries of a whole system with a bundle in force.
func TestCrowdOfBodiesWithKey(t *testing.T) {
	d, err := loadDeployment("a")
	require.NoError(t, err)
	c, err := newCluster(d, false, 1, quiet())
	require.NoError(t, err)
	defer c.close()
	require.NoError(t, c.start(t.Context()))
	r := &run{cluster: c, began: time.Now()}
	for i, u := range c.entries {
		path := []string{"/v1/completions", "/services/" + string(d.Service) + d.RecordPath}[i%2]
		defer holdBodies(t, u.addresses[2], path, keyOf(d.Workspaces[0].ID))()
		require.LessOrEqual(t, readMetric(t, u, `memory_used_bytes{messages="requests"`), settings.DefaultDaemonMemoryMB*0.2*float64(1<<20))
		// The bodies may still be in the buffers of their connections.
		require.Eventually(t, func() bool { return readMetric(t, u, `memory_refusals_total{messages="requests"`) > 0 }, refusalTimeout, 10*time.Millisecond)
	}
	callers := r.newCallers()
	defer callers.http.CloseIdleConnections()
	for _, item := range workload(d, time.Second, 1, false)[:10] {
		result := callers.send(t.Context(), item)
		require.True(t, result.whole, result.problem)
		require.False(t, result.wrong)
	}
}
