package frontend_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

func (w *world) rolloutState(service string) string {
	value, ok := w.store.Row("status", "rollout/"+service)
	if !ok {
		return ""
	}
	var status struct {
		State string `json:"state"`
		To    string `json:"to"`
	}
	require.NoError(w.t, json.Unmarshal(value, &status))
	require.Equal(w.t, "v2", status.To)
	return status.State
}

// Guards against a rollout that is not driven, told or judged in a whole front:
// all calls follow a good version, and none goes to a bad one once it is found.
func TestRolloutIsDriven(t *testing.T) {
	cases := map[string]struct {
		bad   bool
		state string
	}{"good version": {false, "completed"}, "bad version": {true, "rolled_back"}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			old := w.server("i-1", "svc", nil)
			next := w.server("i-2", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
				return func(rw http.ResponseWriter, _ *http.Request, _ []byte) {
					if c.bad {
						s.Answer(rw, http.StatusInternalServerError, "broken")
						return
					}
					s.Answer(rw, http.StatusOK, "served")
				}
			})
			w.relist("i-2", "v2")
			f := w.front("front-1")
			w.store.Put("op", "rollout/svc", map[string]any{"service": "svc", "to": "v2", "duration-s": 4})
			w.eventually(func() bool { return w.rolloutState("svc") == "running" }, "the operator is not told that the rollout runs")
			n := 0
			w.eventually(func() bool {
				for range 20 {
					n++
					f.call(http.MethodGet, "/read/x", fmt.Sprintf("r-%d", n), nil)
				}
				return w.rolloutState("svc") == c.state
			}, "the rollout does not end")
			old.Seen()
			next.Seen()
			for i := range 20 {
				require.NoError(t, f.call(http.MethodGet, "/read/x", fmt.Sprintf("after-%d", i), nil).err)
			}
			if c.bad {
				require.Empty(t, next.Seen())
				require.Len(t, old.Seen(), 20)
			} else {
				require.Empty(t, old.Seen())
				require.Len(t, next.Seen(), 20)
			}
		})
	}
}

// relist lists a server with another software version.
func (w *world) relist(id, software string) {
	value, ok := w.store.Row("servers", id)
	require.True(w.t, ok)
	var row map[string]any
	require.NoError(w.t, json.Unmarshal(value, &row))
	row["version"] = software
	w.store.Put("servers", id, row)
}
