package gateway

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/placement"
)

// Guards against a call that is refused with "no upstream", because a connection to the
// only upstream timed out once: the call was not sent, so that it may be placed there again.
func TestFailedConnectionLeavesItsUpstreamUsable(t *testing.T) {
	cases := map[string]struct {
		kind errs.Kind
		want []core.UpstreamID
	}{
		"nothing was sent":           {errs.Unavailable, []core.UpstreamID{"i-1"}},
		"the request may have begun": {errs.Unknown, []core.UpstreamID{"i-1", "i-2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetLevel(logrus.PanicLevel)
			g := &Gateway{opts: Options{Log: log}, router: newTestRouter(func() float64 { return 0 }, "i-1", "i-2")}
			s := &callState{gateway: g, call: &core.Call{}, route: &catalog.Route{}, attemptedUpstreams: []core.UpstreamID{"i-1", "i-2"}}
			placed := placementResult{choice: placement.Choice{Upstream: catalog.UpstreamRow{Upstream: &catalog.Upstream{ID: "i-2"}}}}
			s.handleNoResponse(t.Context(), placed, attemptReport{}, time.Now(), errs.New(c.kind, "use another upstream", "connection failed"))
			require.Equal(t, c.want, s.attemptedUpstreams)
		})
	}
}
