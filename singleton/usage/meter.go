package usage

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// handoverInterval is the pause between two hand-overs of counts. A process that dies
	// loses what it has counted since the last one.
	handoverInterval = 400 * time.Millisecond
	// exchangeTimeout is the timeout of a call to another process.
	exchangeTimeout = 300 * time.Millisecond
	// callCapacity is the number of calls that may wait for the next hand-over. The oldest
	// ones are dropped and logged.
	callCapacity = 16384
	// requestCapacity is the number of requests that may wait for the book. More are refused.
	requestCapacity = 256
)

// MeterOptions configure a Meter.
type MeterOptions struct {
	Self    fleet.Member
	Periods Periods
	// Members returns the processes that are collectors.
	Members func() []fleet.Member
	// Exchange calls the method Meter of the inner protocol.
	Exchange func(ctx context.Context, address string, request *wire.MeterRequest) (*wire.MeterReply, error)
	Sender   func() *wire.Sender
	// ObserveEpoch records the epoch in the sender field of a received message.
	ObserveEpoch func(sender *wire.Sender)
	Clock        *Clock
	Log          logrus.FieldLogger
	Meter        metric.Meter
}

// begunCall is a call that began to run.
type begunCall struct {
	workspace core.WorkspaceID
	// at is a time of clock.SinceBoot.
	at time.Duration
}

// Meter counts calls, hands the counts to collectors, and collects those of others.
type Meter struct {
	opts     MeterOptions
	calls    *ring.Ring[begunCall]
	requests *ring.Ring[bookRequest]
	metered  metric.Int64Counter
}

// bookRequest adds reports to the book and requests those of a window.
type bookRequest struct {
	reports []SourceReport
	collect bool
	window  Window
	reply   *ring.Ring[[]SourceReport]
}

// NewMeter returns a meter whose duties have not started.
func NewMeter(opts MeterOptions) (*Meter, error) {
	metered, err := opts.Meter.Int64Counter("usage_calls", metric.WithDescription("Calls that began to run at an upstream and were counted"))
	return &Meter{
		opts: opts, calls: ring.New[begunCall](callCapacity), requests: ring.New[bookRequest](requestCapacity), metered: metered,
	}, errs.Wrap(err, errs.Internal, "report this as a defect", "metric instruments cannot be created")
}

// Start starts the duties in a group.
func (m *Meter) Start(g *duty.Group) {
	g.Go("usage book", m.runBook)
	g.Go("usage meter", m.runMeter)
}

// CallBegan counts a call of a workspace that has just begun to run. It never blocks.
func (m *Meter) CallBegan(workspace core.WorkspaceID) {
	m.calls.Push(begunCall{workspace: workspace, at: clock.SinceBoot()})
}

// now returns the true time.
func (m *Meter) now() time.Duration { return m.opts.Clock.At(clock.SinceBoot()) }

// runBook is the loop of the duty that owns the book.
func (m *Meter) runBook(ctx context.Context) error {
	book := NewBook(m.opts.Periods)
	var prunedAt time.Duration
	for {
		request, err := m.requests.Receive(ctx)
		if err != nil {
			return nil
		}
		now := m.now()
		for _, r := range request.reports {
			book.Merge(now, r)
		}
		var reports []SourceReport
		if request.collect {
			reports = book.Reports(request.window)
		}
		request.reply.Push(reports)
		if now-prunedAt > m.opts.Periods.Window {
			book.Prune(now)
			prunedAt = now
		}
	}
}

// askBook adds reports to the book and returns those of a window if collect is set.
func (m *Meter) askBook(ctx context.Context, reports []SourceReport, collect bool, w Window) ([]SourceReport, error) {
	reply, err := ring.TryRequest(ctx, m.requests, func(reply *ring.Ring[[]SourceReport]) bookRequest {
		return bookRequest{reports: reports, collect: collect, window: w, reply: reply}
	})
	return reply, errs.Wrap(err, errs.Exhausted, "retry with another process", "the counts were not processed")
}

// Meter implements the method Meter of the inner protocol.
func (m *Meter) Meter(ctx context.Context, request *wire.MeterRequest) (*wire.MeterReply, error) {
	m.opts.ObserveEpoch(request.GetSender())
	reports, err := m.askBook(ctx, decodeReports(request.GetReports()), request.GetCollect(), Window(request.GetWindow()))
	if err != nil {
		return nil, err
	}
	return &wire.MeterReply{Sender: m.opts.Sender(), NowMs: m.now().Milliseconds(), Reports: encodeReports(reports)}, nil
}

// collect requests the counts of a window from another process, or from the local book if
// the address is that of this process.
func (m *Meter) collect(ctx context.Context, address string, w Window) ([]SourceReport, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if address == m.opts.Self.Address {
		return m.askBook(ctx, nil, true, w)
	}
	reply, err := m.opts.Exchange(ctx, address, &wire.MeterRequest{Sender: m.opts.Sender(), Collect: true, Window: int64(w)})
	if err != nil {
		return nil, err
	}
	m.opts.ObserveEpoch(reply.GetSender())
	return decodeReports(reply.GetReports()), nil
}
