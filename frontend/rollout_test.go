package frontend_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// rolloutState returns the state that the front has reported to the operator, or an
// empty string.
func (d *deployment) rolloutState(service string) string {
	value, ok := d.store.Row("status", "rollout/"+service)
	if !ok {
		return ""
	}
	var status struct {
		State string `json:"state"`
		To    string `json:"to"`
	}
	require.NoError(d.t, json.Unmarshal(value, &status))
	require.Equal(d.t, "v2", status.To)
	return status.State
}

// Guards against a front that does not advance a rollout, report its status or judge
// the new version. After the rollout all calls are sent to a good version, and none
// to a bad one.
func TestRolloutCompletesOrRollsBack(t *testing.T) {
	cases := map[string]struct {
		bad   bool
		state string
	}{"good version": {false, "completed"}, "bad version": {true, "rolled_back"}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			oldServer := d.startServer("i-1", "svc", nil)
			newServer := d.startServer("i-2", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
				return func(rw http.ResponseWriter, _ *http.Request, _ []byte) {
					if c.bad {
						s.Answer(rw, http.StatusInternalServerError, "broken")
						return
					}
					s.Answer(rw, http.StatusOK, "served")
				}
			})
			d.setSoftwareVersion("i-2", "v2")
			f := d.startReadyFront("front-1")
			d.store.Put("op", "rollout/svc", map[string]any{"service": "svc", "to": "v2", "duration-s": 4})
			d.eventually(func() bool { return d.rolloutState("svc") == "running" }, "the status of the rollout is not running")
			requests := 0
			d.eventually(func() bool {
				for range 20 {
					requests++
					f.call(http.MethodGet, "/read/x", fmt.Sprintf("r-%d", requests), nil)
				}
				return d.rolloutState("svc") == c.state
			}, "the rollout does not reach its final state")
			oldServer.Seen() // discards the requests before the final state
			newServer.Seen()
			for i := range 20 {
				require.NoError(t, f.call(http.MethodGet, "/read/x", fmt.Sprintf("after-%d", i), nil).err)
			}
			if c.bad {
				require.Empty(t, newServer.Seen())
				require.Len(t, oldServer.Seen(), 20)
			} else {
				require.Empty(t, oldServer.Seen())
				require.Len(t, newServer.Seen(), 20)
			}
		})
	}
}

// Guards against a version whose answers are several times slower and that is completed
// because its streams do not end before all calls are switched to it.
func TestSlowVersionIsRolledBack(t *testing.T) {
	const callInterval = 20 * time.Millisecond
	streaming := func(events int, pause time.Duration) handlerFactory {
		return func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
			return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
				time.Sleep(pause)
				s.Events(w, 1, events, pause)
			}
		}
	}
	d := newDeployment(t)
	d.startServer("i-1", "svc", streaming(20, 5*time.Millisecond))
	newServer := d.startServer("i-2", "svc", streaming(60, 60*time.Millisecond))
	d.setSoftwareVersion("i-2", "v2")
	f := d.startReadyFront("front-1")
	d.store.Put("op", "rollout/svc", map[string]any{"service": "svc", "to": "v2", "duration-s": 5})
	var calls sync.WaitGroup
	final := func() bool { return d.rolloutState("svc") == "rolled_back" || d.rolloutState("svc") == "completed" }
	send := func(id string) {
		calls.Go(func() {
			f.call(http.MethodPost, "/draft/x", id, func(r *http.Request) { r.Header.Set("Deadline-Ms", "4000") })
		})
		time.Sleep(callInterval)
	}
	for i := 0; !final(); i++ {
		send(fmt.Sprint("r-", i))
	}
	require.Equal(t, "rolled_back", d.rolloutState("svc"))
	calls.Wait()
	newServer.Seen() // discards the requests before the finding
	for i := range 20 {
		send(fmt.Sprint("after-", i))
	}
	calls.Wait()
	require.Empty(t, newServer.Seen())
}

// setSoftwareVersion changes the software version in a server's row.
func (d *deployment) setSoftwareVersion(id, software string) {
	value, ok := d.store.Row("servers", id)
	require.True(d.t, ok)
	var row map[string]any
	require.NoError(d.t, json.Unmarshal(value, &row))
	row["version"] = software
	d.store.Put("servers", id, row)
}
