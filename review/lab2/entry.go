//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// runEntry: another writer leaves an entry without the fields version, cold-left-ms, seq and
// born under the id of a server. It names another service, whose calls that server then runs.
func runEntry(w *world) (bool, error) {
	var foreign atomic.Int64
	var first *plainServer
	for _, service := range []string{"bitacora", "registro"} {
		for i, zone := range zones {
			s, err := w.newServer(service, fmt.Sprintf("i-%s-%d", service, i+1), zone)
			if err != nil {
				return false, err
			}
			s.onRun = func(r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/"+service+"/") {
					foreign.Add(1)
					w.note("server %s of the service %s runs %s, a call to %s", s.id, service, r.Header.Get("Request-Id"), r.URL.Path)
				}
			}
			s.register()
			if first == nil {
				first = s
			}
		}
	}
	w.putConfig(0, "bitacora", "registro")
	if err := w.startFronts(zones); err != nil {
		return false, err
	}
	t := w.startTraffic([]int{20, 20, 20}, func(n int) (string, string) {
		return "POST", []string{"/bitacora/1", "/registro/1"}[n%2]
	})
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.note("another writer writes an entry without version, cold-left-ms, seq and born under the id %s", first.id)
		w.store.Put("servers", first.id, map[string]any{
			"service": "registro", "address": first.addr, "zone": first.zone, "slots": serverSlots, "state": "ready",
		})
	}
	time.Sleep(6 * time.Second)
	t.end()
	w.note("%d calls ran at a server of a service to which their route does not lead", foreign.Load())
	return foreign.Load() > 0, nil
}
