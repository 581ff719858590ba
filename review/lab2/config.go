//go:build review

package main

const (
	host = "gates.example"
	key  = "key-1"
)

// putConfig writes a configuration with a route of unsafe calls for each service. The prefix
// of the route is the name of the service. coldPerSecond is 0 for services without a limit
// for cold servers.
func (w *world) putConfig(coldPerSecond float64, services ...string) {
	var routes, list []any
	for _, name := range services {
		routes = append(routes, map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "kind": "unsafe", "service": name, "priority": 2,
			"timeout-ms": 1200, "target-latency-ms": 150, "max-attempts": 1,
		})
		service := map[string]any{"name": name, "health-path": "/health"}
		if coldPerSecond > 0 {
			service["cold-per-s"], service["cold-start-s"] = coldPerSecond, coldTime.Seconds()
		}
		list = append(list, service)
	}
	w.store.Put("op", "config", map[string]any{
		"version": 1, "routes": routes, "services": list,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": []string{key}}},
	})
}

var zones = []string{"celaya", "salamanca", "irapuato"}

// unsafeCalls returns the target of calls that may run once at most.
func unsafeCalls(service string) func(int) (string, string) {
	return func(int) (string, string) { return "POST", "/" + service + "/1" }
}

// putModelConfig writes a configuration with a route of streams that may be resumed, to model
// servers.
func (w *world) putModelConfig() {
	w.store.Put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	w.store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "verdict", "host": host, "prefix": "/verdict/", "kind": "streaming", "service": modelService, "priority": 1,
			"timeout-ms": 6000, "target-latency-ms": 600, "max-attempts": 2, "resumable": true, "sticky": true, "gap-aim-ms": 300,
		}},
		"services": []any{map[string]any{
			"name": modelService, "health-path": "/health", "max-connections": 360, "cold-per-s": coldPerSecond, "cold-start-s": coldTime.Seconds(),
			"engine": map[string]any{
				"slots": 64, "kv-capacity-tokens": 51689, "kv-token-bytes": 163840, "link-mbps": 740000, "managed": true, "max-inflight": 12,
				"models": []any{map[string]any{"name": modelName}},
			},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": []string{key}}},
	})
}
