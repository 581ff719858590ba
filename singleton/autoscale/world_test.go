package autoscale_test

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/singleton"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
)

const (
	testService = core.ServiceID("records")
	testDomain  = core.FailureDomain("east")
	testSlots   = 10
	testBoot    = 5 * time.Second
)

// received is an order that the platform received.
type received struct {
	fence core.Fence
	count int
	at    time.Duration
}

// fakePlatform starts upstreams after their boot time. It is used within a synctest
// bubble, in which one goroutine at a time runs, by means of the ring state.
type fakePlatform struct {
	start time.Time
	state *ring.Ring[platformState]
}

// platformState is the state of the platform, which is taken from and returned to a ring.
type platformState struct {
	count    int
	bootedAt time.Time
	booting  int
	received []received
	// answer decides on an order: whether it takes effect, and its error. It may wait.
	answer func(ctx context.Context, n int) (effect bool, err error)
}

func newFakePlatform(count int) *fakePlatform {
	p := &fakePlatform{start: time.Now(), state: ring.New[platformState](1)}
	p.state.Push(platformState{count: count})
	return p
}

func (p *fakePlatform) update(f func(s *platformState)) {
	s, _ := p.state.Receive(context.Background())
	f(&s)
	p.state.Push(s)
}

// listed returns the number of upstreams that serve.
func (p *fakePlatform) listed() (n int) {
	p.update(func(s *platformState) {
		if s.booting > 0 && !time.Now().Before(s.bootedAt) {
			s.count, s.booting = s.count+s.booting, 0
		}
		n = s.count
	})
	return n
}

func (p *fakePlatform) orders() (out []received) {
	p.update(func(s *platformState) { out = append(out, s.received...) })
	return out
}

// SetCount implements autoscale.Client.
func (p *fakePlatform) SetCount(ctx context.Context, a singleton.Authority, _ core.ServiceID, _ core.FailureDomain, count int) error {
	listed := p.listed()
	var answer func(ctx context.Context, n int) (bool, error)
	var number int
	p.update(func(s *platformState) {
		s.received = append(s.received, received{fence: a.Fence, count: count, at: time.Since(p.start)})
		answer, number = s.answer, len(s.received)
	})
	effect, err := true, error(nil)
	if answer != nil {
		effect, err = answer(ctx, number)
	}
	if effect {
		p.update(func(s *platformState) {
			if count <= listed {
				s.count, s.booting = count, 0
			} else {
				s.booting, s.bootedAt = count-listed, time.Now().Add(testBoot)
			}
		})
	}
	return err
}

// fakeLeases grants one authority for all subjects.
type fakeLeases struct {
	held *ring.Ring[singleton.Authority]
}

func newFakeLeases(a singleton.Authority) *fakeLeases {
	l := &fakeLeases{held: ring.New[singleton.Authority](1)}
	l.held.Push(a)
	return l
}

func (l *fakeLeases) SetSubjects([]singleton.Subject) {}

func (l *fakeLeases) Subscribe() *ring.Ring[struct{}] { return ring.New[struct{}](1) }

func (l *fakeLeases) Authority(subject singleton.Subject) (singleton.Authority, bool) {
	a, _ := l.held.Receive(context.Background())
	l.held.Push(a)
	a.Subject = subject
	return a, a.Fence > 0
}

func (l *fakeLeases) set(a singleton.Authority) { l.held.Push(a) }

// world is one process with its platform.
type world struct {
	platform *fakePlatform
	leases   *fakeLeases
	scaler   *autoscale.Scaler
	group    *duty.Group
	start    time.Time
	log      *test.Hook
	// draining contains an upstream that drains, if there is one.
	draining *ring.Ring[catalog.UpstreamRow]
	// domains are the failure domains of the service, each with the same upstreams.
	domains []core.FailureDomain
	// skipped is added to the clock since boot, as after a suspension.
	skipped *ring.Ring[time.Duration]
}

// forever is the end of an authority that does not end during a test.
const forever = 1000 * time.Hour

// newWorld starts a process that holds the lease with fence 1.
func newWorld(t *testing.T, platform *fakePlatform, a singleton.Authority, domains ...core.FailureDomain) *world {
	t.Helper()
	log, hook := test.NewNullLogger()
	w := &world{platform: platform, leases: newFakeLeases(a), start: time.Now(), skipped: ring.New[time.Duration](1), log: hook, draining: ring.New[catalog.UpstreamRow](1), domains: []core.FailureDomain{testDomain}}
	w.skipped.Push(0)
	w.domains = append(w.domains, domains...)
	var err error
	w.scaler, err = autoscale.NewScaler(autoscale.ScalerOptions{
		Leases: w.leases, Client: platform, View: w.view, Log: log, SinceBoot: w.sinceBoot,
	})
	require.NoError(t, err)
	w.group = duty.NewGroup(t.Context(), log)
	w.scaler.Start(w.group)
	t.Cleanup(w.stop)
	return w
}

func (w *world) sinceBoot() time.Duration {
	skipped, _ := w.skipped.Receive(context.Background())
	w.skipped.Push(skipped)
	return time.Since(w.start) + skipped
}

func (w *world) view() *fleet.View {
	v := &fleet.View{Config: &catalog.Config{Services: map[core.ServiceID]*catalog.Service{
		testService: {ID: testService, Scale: &catalog.Scale{Min: 1, Max: 50, Boot: testBoot}},
		"invalid":   {ID: "invalid", ScaleProblem: "min is above max"},
	}}}
	for i := range w.platform.listed() {
		for _, domain := range w.domains {
			v.Upstreams = append(v.Upstreams, catalog.UpstreamRow{Upstream: &catalog.Upstream{
				ID: core.UpstreamID(string(domain) + string(rune('a'+i))), Service: testService, Domain: domain, Slots: testSlots,
			}})
		}
	}
	if u, ok := w.draining.TryReceive(); ok {
		w.draining.Push(u)
		v.Upstreams = append(v.Upstreams, u)
	}
	return v
}

// run reports a demand every half second.
func (w *world) run(d time.Duration, calls float64) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		now := time.Now()
		w.scaler.RecordLoads(autoscale.LoadReport{
			At: now, ExchangedAt: now, Waiting: map[core.ServiceID]float64{testService: calls},
			Upstreams: []autoscale.UpstreamLoad{{Upstream: "leaving", ExclusiveTokens: 700}},
		})
	}
}

// stop ends the process, unless it has ended.
func (w *world) stop() {
	if w.group == nil {
		return
	}
	w.group.Stop()
	_ = w.group.Wait() // a duty that fails ends the test by the orders that it does not send
	w.group = nil
}

// unknown is the error of an order whose result is unknown.
func unknown() error { return errs.New(errs.Unknown, "repeat the order", "no answer") }
