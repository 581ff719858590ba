package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/daemon"
	"waxwingtide.example/waxwingtide/settings"
)

const testTimeout = 10 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// runEntry runs an entry whose store is away. It returns what stops it and its result.
func runEntry(t *testing.T, callers, admin net.Listener) (stop func(), exited chan error) {
	t.Helper()
	unused := listen(t)
	store := "http://" + unused.Addr().String()
	require.NoError(t, unused.Close())
	secret := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(secret, []byte("secret"), 0o600))
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(t.Context())
	exited = make(chan error, 1)
	go func() {
		exited <- daemon.RunEntry(ctx, &settings.Entry{
			Common: settings.Common{
				Node: "entry-1", FailureDomain: "z1", FailureDomains: []core.FailureDomain{"z1"}, StopTimeout: time.Minute,
				Platform: settings.Platform{
					TableURL: store, TableName: "t", ObjectsURL: store, Bucket: "b", MembersURL: store, AccessKey: "a", SecretKeyFile: secret,
				},
			},
			Routing: settings.Routing{Policy: settings.PolicyCost, MaxWatched: settings.DefaultMaxWatched},
			Limits:  settings.Limits{BodyBytes: settings.DefaultBodyBytes, Waiting: settings.DefaultWaiting, Timeout: settings.DefaultTimeout},
		}, daemon.Deps{Log: log, InnerListener: listen(t), AdminListener: admin, CallerListener: callers})
	}()
	return stop, exited
}

// requireResponsesAcrossStop sends a request with a path before the stop of an entry and
// another one of which a part is sent before it, and requires responses to both.
func requireResponsesAcrossStop(t *testing.T, address, path string, status int, stop func()) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(2*testTimeout)))
	reader := bufio.NewReader(conn)
	head := "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n"
	send := func(text string) {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
	}
	requireResponse := func() {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "the connection ended without a response")
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, status, resp.StatusCode)
	}
	send(head + "\r\n")
	requireResponse()
	send(head)
	stop()
	require.Eventually(t, func() bool {
		probe, err := net.Dial("tcp", address)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	}, testTimeout, 5*time.Millisecond)
	send("\r\n")
	requireResponse()
}

// Guards against requests that the planned stop of an entry takes and gives up: their
// heads were partly received when the entry began to close connections.
func TestPlannedStopOfEntryAnswersRequestsThatHaveBegun(t *testing.T) {
	callers := listen(t)
	stop, exited := runEntry(t, callers, listen(t))
	requireResponsesAcrossStop(t, callers.Addr().String(), "/x", http.StatusServiceUnavailable, stop)
	require.NoError(t, <-exited)
}

// Guards against requests to the administration API that a planned stop takes and gives
// up, so that an operator does not learn whether a change was made.
func TestPlannedStopOfEntryAnswersAdministrationRequests(t *testing.T) {
	admin := listen(t)
	stop, exited := runEntry(t, listen(t), admin)
	requireResponsesAcrossStop(t, admin.Addr().String(), "/healthz", http.StatusOK, stop)
	require.NoError(t, <-exited)
}
