package standin

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"waxwingtide.example/waxwingtide/stores"
)

// Members is a stand-in for the platform's membership list. It answers in the
// Prometheus HTTP service discovery format.
type Members struct {
	Switches
	list atomic.Pointer[[]stores.VM]
}

// NewMembers returns a list without entries.
func NewMembers() *Members {
	m := &Members{}
	m.SetList(nil)
	return m
}

// SetList replaces the list.
func (m *Members) SetList(vms []stores.VM) { m.list.Store(&vms) }

type discoveryGroup struct {
	Targets []string        `json:"targets"`
	Labels  discoveryLabels `json:"labels"`
}

type discoveryLabels struct {
	VM            string `json:"vm"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Incarnation   string `json:"incarnation"`
}

// ServeHTTP implements http.Handler.
func (m *Members) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	refusal := answer{http.StatusServiceUnavailable, "text/plain", []byte("overloaded")}
	m.serve(w, r, refusal, func([]byte) answer {
		groups := []discoveryGroup{}
		for _, vm := range *m.list.Load() {
			groups = append(groups, discoveryGroup{
				Targets: []string{vm.Address},
				Labels: discoveryLabels{
					VM:            string(vm.Node),
					Role:          vm.Role,
					FailureDomain: string(vm.FailureDomain),
					State:         string(vm.State),
					Incarnation:   strconv.FormatUint(uint64(vm.Incarnation), 10),
				},
			})
		}
		return jsonAnswer(http.StatusOK, "application/json", groups)
	})
}
