package standin

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/duty"
)

// weightSteps is how often a load adapts to the number of concurrent loads.
const weightSteps = 20

// WeightsOptions describes the weight store.
type WeightsOptions struct {
	// LoadTime is the time of one load; 0 means 0.66 s.
	LoadTime time.Duration
	// Parallel is how many loads run at full speed; 0 means 2.
	Parallel int
}

// Weights is a stand-in for the rate-limited weight store.
type Weights struct {
	o        WeightsOptions
	active   atomic.Int64
	peak     atomic.Int64
	slowdown atomic.Int64
	down     atomic.Bool
}

// NewWeights returns a weight store.
func NewWeights(o WeightsOptions) *Weights {
	if o.LoadTime == 0 {
		o.LoadTime = 660 * time.Millisecond
	}
	if o.Parallel == 0 {
		o.Parallel = 2
	}
	return &Weights{o: o}
}

// SetDown makes loads fail.
func (s *Weights) SetDown(down bool) { s.down.Store(down) }

// SetSlowdown multiplies the time of loads; 0 and 1 mean full speed.
func (s *Weights) SetSlowdown(factor int) { s.slowdown.Store(int64(factor)) }

// Peak returns the largest number of concurrent loads seen.
func (s *Weights) Peak() int { return int(s.peak.Load()) }

// Load returns when the weights have been read. Above the parallel limit all
// loads share the store's rate.
func (s *Weights) Load(ctx context.Context, model string) error {
	active := s.active.Add(1)
	defer s.active.Add(-1)
	for peak := s.peak.Load(); active > peak && !s.peak.CompareAndSwap(peak, active); peak = s.peak.Load() {
		continue
	}
	for range weightSteps {
		if s.down.Load() {
			return errors.Newf("weight store cannot read %s", model)
		}
		share := max(1, float64(s.active.Load())/float64(s.o.Parallel)) * float64(max(1, s.slowdown.Load()))
		if !duty.Pause(ctx, time.Duration(share*float64(s.o.LoadTime)/weightSteps)) {
			return ctx.Err()
		}
	}
	return nil
}

// linkChunkBytes is the largest piece that crosses a link at once.
const linkChunkBytes = 16 << 10

// linkSlack is how far bytes may run ahead of the rate. Pauses shorter than a
// timer's resolution would slow the link below its rate.
const linkSlack = 2 * time.Millisecond

// Link is an http.RoundTripper that paces request and response bodies to one
// shared byte rate and counts the bytes.
type Link struct {
	transport *http.Transport
	rate      atomic.Int64 // bytes a second
	freeAt    atomic.Int64 // when the last chunk will have crossed, in Unix nanoseconds
	bytes     atomic.Int64
}

// NewLink returns a link with a rate in bytes a second.
func NewLink(bytesPerSecond float64) *Link {
	l := &Link{transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	l.SetRate(bytesPerSecond)
	return l
}

// SetRate changes the rate in bytes a second.
func (l *Link) SetRate(bytesPerSecond float64) { l.rate.Store(max(1, int64(bytesPerSecond))) }

// Bytes returns how many bytes have crossed the link in both directions.
func (l *Link) Bytes() int64 { return l.bytes.Load() }

// Close ends idle connections.
func (l *Link) Close() { l.transport.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (l *Link) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		r = r.Clone(r.Context())
		r.Body = &pacedBody{ReadCloser: r.Body, link: l, ctx: r.Context()}
		r.GetBody = nil
	}
	resp, err := l.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &pacedBody{ReadCloser: resp.Body, link: l, ctx: r.Context()}
	return resp, nil
}

type pacedBody struct {
	io.ReadCloser
	link *Link
	ctx  context.Context
}

func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), linkChunkBytes)])
	if wait := b.link.cross(n); wait > linkSlack && !duty.Pause(b.ctx, wait) {
		return 0, b.ctx.Err()
	}
	return n, err
}

// cross queues n bytes behind those before them and returns how long they take.
func (l *Link) cross(n int) time.Duration {
	l.bytes.Add(int64(n))
	now := time.Now().UnixNano()
	for {
		freeAt := l.freeAt.Load()
		end := max(now, freeAt) + int64(n)*int64(time.Second)/l.rate.Load()
		if l.freeAt.CompareAndSwap(freeAt, end) {
			return time.Duration(end - now)
		}
	}
}
