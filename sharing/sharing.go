// Package sharing exchanges observations of upstreams, evidence on parts of prompts that
// crash them, verdicts on versions and summaries of work among the fronts. One process of each failure domain, the domain
// collector, collects what its domain has observed. One process, the global collector,
// collects from all domain collectors. The number of messages therefore grows linearly
// with the number of processes, and the traffic between failure domains grows only with
// the number of domains. Each process receives only what is new to it.
package sharing

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/placement/links"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// exchangeInterval is the pause between two exchanges with a collector.
	exchangeInterval = 200 * time.Millisecond
	// exchangeTimeout is the timeout of one exchange.
	exchangeTimeout = 300 * time.Millisecond
	// localCapacity is the number of local observations that may wait for an
	// exchange. The oldest ones are dropped.
	localCapacity = 1024
	// remoteCapacity is the number of groups of remote observations that may wait in
	// the ring of RemoteObservations. The oldest ones are dropped.
	remoteCapacity = 16
	// evidenceCapacity is the number of elements of evidence that may wait for an
	// exchange or in the ring of RemoteEvidence. The oldest ones are dropped.
	evidenceCapacity = 64
	// verdictCapacity is the number of local verdicts that may wait for an exchange. The
	// oldest ones are dropped and recorded again while they apply.
	verdictCapacity = 32
	// requestCapacity is the number of requests that may wait for the board.
	requestCapacity = 256
	// globalCollectorAlias stands for the global collector, whichever process it is,
	// as the sender of requests to the board of a domain collector.
	globalCollectorAlias core.NodeID = "\x00above"
)

// CollectorCandidates are the addresses of the processes that may be collectors.
// The lists are sorted in the same way in all processes. The first process of a
// list that responds is the collector.
type CollectorCandidates struct {
	LocalAddress string
	// DomainAddresses are the addresses of the processes in the local failure
	// domain. They include LocalAddress.
	DomainAddresses []string
	// AllAddresses are the addresses of all processes, including LocalAddress.
	AllAddresses []string
}

// Options configure an Exchanger.
type Options struct {
	Self       core.NodeID
	Candidates func() CollectorCandidates
	// Exchange calls the method Share of the inner protocol at a collector.
	Exchange func(ctx context.Context, address string, request *wire.ShareRequest) (*wire.ShareReply, error)
	// Sender returns the sender field of outgoing messages.
	Sender func() *wire.Sender
	// ObserveEpoch records the epoch in the sender field of a received message.
	ObserveEpoch func(sender *wire.Sender)
	Log          logrus.FieldLogger
}

// boardRequest adds a batch to the local board and requests what is new to the
// sender.
type boardRequest struct {
	sender core.NodeID
	batch
	// afterNumber is the number of the newest observation that the sender has
	// received.
	afterNumber uint64
	// forCollector is set when the observations of the reply are sent to a
	// collector, which receives each failed connection with its reporter.
	forCollector bool
	reply        *ring.Ring[boardReply]
}

type boardReply struct {
	batch
	// newestNumber is the number of the newest observation on the board.
	newestNumber uint64
}

// Exchanger runs the two duties that exchange and collect observations.
type Exchanger struct {
	opts             Options
	local            *ring.Ring[Observation]
	remote           *ring.Ring[[]Observation]
	localEvidence    *ring.Ring[quarantine.Evidence]
	remoteEvidence   *ring.Ring[quarantine.Evidence]
	localVerdicts    *ring.Ring[canary.Verdict]
	remoteVerdicts   *ring.Ring[[]canary.Verdict]
	localLinkDelays  *ring.Ring[[]links.Delays]
	remoteLinkDelays *ring.Ring[[]links.Delays]
	localBacklog     *ring.Ring[backlog.Summary]
	remoteBacklog    *ring.Ring[backlog.Summary]
	newBoards        *ring.Ring[struct{}]
	boardRequests    *ring.Ring[boardRequest]
	// lastExchange is the time of the last exchange in Unix nanoseconds, or 0.
	lastExchange atomic.Int64
}

// recordExchange records an exchange with another process, or that there is none.
func (e *Exchanger) recordExchange() { e.lastExchange.Store(time.Now().UnixNano()) }

// LastExchange returns the time of the last exchange with another process, in either
// direction, or the zero time. A process that is the only one listed exchanges with itself.
func (e *Exchanger) LastExchange() time.Time {
	if at := e.lastExchange.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// New returns an Exchanger whose duties have not started.
func New(opts Options) *Exchanger {
	return &Exchanger{
		opts: opts, local: ring.New[Observation](localCapacity), remote: ring.New[[]Observation](remoteCapacity),
		localEvidence: ring.New[quarantine.Evidence](evidenceCapacity), remoteEvidence: ring.New[quarantine.Evidence](evidenceCapacity),
		localVerdicts: ring.New[canary.Verdict](verdictCapacity), remoteVerdicts: ring.New[[]canary.Verdict](remoteCapacity),
		localLinkDelays: ring.New[[]links.Delays](1), remoteLinkDelays: ring.New[[]links.Delays](1),
		localBacklog: ring.New[backlog.Summary](1), remoteBacklog: ring.New[backlog.Summary](1),
		newBoards:     ring.New[struct{}](1),
		boardRequests: ring.New[boardRequest](requestCapacity),
	}
}

// Start starts the duties in a group.
func (e *Exchanger) Start(g *duty.Group) {
	g.Go("sharing", e.runExchange)
	g.Go("observations", e.runBoard)
}

// Record queues a local observation for the next exchange. It never blocks.
func (e *Exchanger) Record(o Observation) { e.local.Push(o) }

// RecordEvidence queues local evidence on parts of prompts for the next exchange. It
// never blocks.
func (e *Exchanger) RecordEvidence(evidence quarantine.Evidence) { e.localEvidence.Push(evidence) }

// RemoteEvidence returns the ring of the other processes' evidence on parts of prompts.
func (e *Exchanger) RemoteEvidence() *ring.Ring[quarantine.Evidence] { return e.remoteEvidence }

// RecordVerdict queues a local verdict on a version for the next exchange. It never
// blocks.
func (e *Exchanger) RecordVerdict(v canary.Verdict) { e.localVerdicts.Push(v) }

// RemoteVerdicts returns the ring of the other processes' verdicts on versions.
func (e *Exchanger) RemoteVerdicts() *ring.Ring[[]canary.Verdict] { return e.remoteVerdicts }

// RecordBacklog replaces the summary of the local work. It never blocks.
func (e *Exchanger) RecordBacklog(s backlog.Summary) { e.localBacklog.Push(s) }

// RemoteBacklog returns the ring of the newest sum of the other processes' work.
func (e *Exchanger) RemoteBacklog() *ring.Ring[backlog.Summary] { return e.remoteBacklog }

// NewBoards returns the ring that has an element after the first exchange with a board,
// which lacks what was sent to others.
func (e *Exchanger) NewBoards() *ring.Ring[struct{}] { return e.newBoards }

// RemoteObservations returns the ring of the other processes' observations.
func (e *Exchanger) RemoteObservations() *ring.Ring[[]Observation] { return e.remote }

// runBoard is the loop of the duty that owns the local board. Other processes use
// the board if this process is a collector.
func (e *Exchanger) runBoard(ctx context.Context) error {
	b := newBoard()
	for {
		request, err := e.boardRequests.Receive(ctx)
		if err != nil {
			return nil
		}
		now := time.Now()
		b.add(request.sender, request.observations)
		b.addDepartures(now, request.sender, request.observations)
		b.addEvidence(now, request.sender, request.evidence)
		b.addVerdicts(now, request.sender, request.verdicts)
		b.linkDelays.add(now, request.sender, request.linkDelays)
		if request.backlog != nil {
			b.backlogs.Put(now, request.sender, *request.backlog)
		}
		othersBacklog := b.backlogs.Others(now, request.sender)
		request.reply.Push(boardReply{
			batch: batch{
				observations: b.newObservations(now, request.sender, request.afterNumber, request.forCollector),
				evidence:     b.newEvidence(now, request.sender, request.afterNumber),
				verdicts:     b.verdicts.newFor(now, request.sender, request.afterNumber),
				linkDelays:   b.linkDelays.sumWithout(now, request.sender),
				backlog:      &othersBacklog,
			},
			newestNumber: b.newestNumber,
		})
	}
}

// exchangeWithBoard adds observations to the local board and returns the new ones.
func (e *Exchanger) exchangeWithBoard(ctx context.Context, request boardRequest) (boardReply, error) {
	reply, err := ring.TryRequest(ctx, e.boardRequests, func(reply *ring.Ring[boardReply]) boardRequest {
		request.reply = reply
		return request
	})
	return reply, errs.Wrap(err, errs.Exhausted, "retry with another process", "the board did not process the request")
}

// Share implements the method Share of the inner protocol.
func (e *Exchanger) Share(ctx context.Context, request *wire.ShareRequest) (*wire.ShareReply, error) {
	e.opts.ObserveEpoch(request.GetSender())
	self := e.opts.Sender()
	query := boardRequest{
		sender: core.NodeID(request.GetSender().GetNode()), batch: decodeBatch(time.Now(), request), forCollector: request.Collector,
	}
	if request.Board == self.Incarnation {
		query.afterNumber = request.After
	}
	reply, err := e.exchangeWithBoard(ctx, query)
	if err != nil {
		return nil, err
	}
	e.recordExchange()
	now := time.Now()
	return &wire.ShareReply{Seen: encodeObservations(now, reply.observations), Parts: encodeEvidence(now, reply.evidence), Verdicts: encodeVerdicts(reply.verdicts), Backlog: encodeBacklog(reply.backlog), Links: encodeLinkDelays(reply.linkDelays), Board: self.Incarnation, After: reply.newestNumber, Sender: self}, nil
}
