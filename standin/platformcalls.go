package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

// PlatformCall is a call as a client of the users' platform sends it.
type PlatformCall struct {
	ID     string
	Method string
	// Address is that of a front, Host and Path select the route.
	Address string
	Host    string
	Path    string
	Key     string
	// Wait is how long the client waits.
	Wait time.Duration
	Body io.Reader
	// Prompt lists the parts of the prompt of a model's call as NAME:TOKENS, separated by
	// commas. It is empty for other calls.
	Prompt string
}

// Request returns the call as a request. The library does not send it again by
// itself.
func (c PlatformCall) Request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, c.Body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Host = c.Host
	req.Header.Set("Request-Id", c.ID)
	req.Header.Set("X-Api-Key", c.Key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.Wait.Milliseconds(), 10))
	if c.Prompt != "" {
		req.Header.Set("Model", "m1")
		req.Header.Set("Token-Usage", "100,10")
		req.Header.Set("Prompt-Prefix", c.Prompt)
	}
	return req, nil
}

// PlatformID returns the id of a call, of its request or its answer.
func PlatformID(h http.Header) string { return h.Get("Request-Id") }

// PlatformPrompt returns the parts of the prompt of a call.
func PlatformPrompt(h http.Header) string { return h.Get("Prompt-Prefix") }

// LastEvent returns the id of the last event that the caller has; 0 at the
// beginning of a stream.
func LastEvent(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return n
}

// BeginStream sends the head of a stream with the server's seal.
func (s *PlatformServer) BeginStream(w http.ResponseWriter) {
	w.Header().Set("Response-Seal", "seal-"+s.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

// SendEvent sends an event of a stream. It fails when the caller has left.
func (s *PlatformServer) SendEvent(w http.ResponseWriter, n int, text string) error {
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// SendHalfEvent sends the beginning of an event.
func (s *PlatformServer) SendHalfEvent(w http.ResponseWriter, n int) error {
	if _, err := fmt.Fprintf(w, "id: %d\nda", n); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// PlatformRoute is a route of the operators' configuration.
type PlatformRoute struct {
	Name string
	// Kind is safe, unsafe or streaming.
	Kind      string
	Attempts  int
	Resumable bool
	Timeout   time.Duration
	Aim       time.Duration
}

// PlatformService is a service of the operators' configuration. Its number of servers in
// each zone may be ordered if MaxServers is above 0.
type PlatformService struct {
	Name                   string
	MinServers, MaxServers int
	Boot                   time.Duration
}

func (s PlatformService) row() map[string]any {
	row := map[string]any{"name": s.Name}
	if s.MaxServers > 0 {
		row["scale"] = map[string]any{"min": s.MinServers, "max": s.MaxServers, "boot-s": s.Boot.Seconds()}
	}
	return row
}

// PutConfig writes a configuration with one service and one customer. The prefix
// of each route is its name.
func (s *PlatformStore) PutConfig(version int, host string, service PlatformService, routes []PlatformRoute, keys []string) {
	list := make([]any, len(routes))
	for i, r := range routes {
		list[i] = map[string]any{
			"name": r.Name, "host": host, "prefix": "/" + r.Name + "/", "kind": r.Kind, "service": service.Name, "priority": 1,
			"timeout-ms": r.Timeout.Milliseconds(), "target-latency-ms": r.Aim.Milliseconds(),
			"max-attempts": r.Attempts, "resumable": r.Resumable,
		}
	}
	s.Put("op", "config", map[string]any{
		"version": version, "routes": list, "services": []any{service.row()},
		"limits":  map[string]any{"max-body-bytes": 1 << 20, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": keys}},
	})
}

// PutServer lists a server of a service in its first incarnation.
func (s *PlatformStore) PutServer(id, service, address, zone string, draining bool) {
	s.PutIncarnation(id, service, address, zone, draining, 1)
}

// PutIncarnation lists an incarnation of a server.
func (s *PlatformStore) PutIncarnation(id, service, address, zone string, draining bool, born int) {
	state := "ready"
	if draining {
		state = "draining"
	}
	s.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 16, "state": state, "born": born,
	})
}

// PutEvacuation requests that a zone is not used, or withdraws the request.
func (s *PlatformStore) PutEvacuation(zone string, evacuated bool) {
	var value any
	if evacuated {
		value = map[string]any{}
	}
	s.Put("op", "evacuate/"+zone, value)
}

// LoopbackAddress returns a loopback address that belongs to this process, so
// that no other process takes its ports. Ports are best below the range from which
// the kernel takes those of outgoing connections.
func LoopbackAddress(port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, port)
}
