package frontend_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callBad sends a call with the part that crashes servers.
func (f *front) callBad(i int) response {
	return f.call(http.MethodPost, "/verdict/x", fmt.Sprintf("bad-%d", i), func(r *http.Request) {
		r.Header.Set("Model", "m1")
		r.Header.Set("Token-Usage", "100,10")
		r.Header.Set("Prompt-Prefix", strings.ReplaceAll("common:50,bad:20,own-#:5", "#", fmt.Sprint(i)))
	})
}

// Guards against a part in quarantine that crashes servers again after all fronts have
// started anew, and against fronts that do not start because the store is away.
func TestQuarantineOutlivesAllFronts(t *testing.T) {
	const calls, callPause = 12, 150 * time.Millisecond
	d := newDeployment(t)
	cluster := d.startCrashingServers(8)
	generation := []*front{d.startReadyFront("front-1"), d.startReadyFront("front-2")}
	// A front that has just started needs more evidence and other answers.
	for i := 0; ; i++ {
		got := generation[i%2].call(http.MethodPost, "/verdict/x", fmt.Sprintf("sound-%d", i), func(r *http.Request) {
			r.Header.Set("Model", "m1")
			r.Header.Set("Token-Usage", "100,10")
			r.Header.Set("Prompt-Prefix", fmt.Sprintf("common:50,own-%d:5", i))
		})
		require.NoError(t, got.err)
		if i%6 != 5 {
			continue
		}
		if got := generation[0].callBad(i); got.status == http.StatusServiceUnavailable {
			break
		}
		require.Less(t, i, 600, "the part is not quarantined")
	}
	time.Sleep(time.Second) // the front that has decided writes
	for _, f := range generation {
		f.stop()
	}
	for _, f := range generation {
		err := <-f.exited
		require.NoError(t, err)
		f.exited <- err // for the cleanup
	}
	_, before := cluster.arrivalsAfter(0)
	restarted := []*front{d.startReadyFront("front-1"), d.startReadyFront("front-2")}
	for i := range calls {
		got := restarted[i%2].callBad(1000 + i)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		time.Sleep(callPause)
	}
	_, after := cluster.arrivalsAfter(0)
	require.Equal(t, before, after, "servers crash on the part again")
}
