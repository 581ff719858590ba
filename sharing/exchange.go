package sharing

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/placement/links"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
	"waxwingtide.example/waxwingtide/wire"
)

// maxCandidates is the number of processes that are tried as the collector, one
// after the other, when a collector does not respond.
const maxCandidates = 4

// failbackInterval is the interval at which a process that uses another candidate
// returns to the first one. Without it, a first candidate that restarts would collect
// for itself only, since it selects itself.
const failbackInterval = 2 * time.Second

// collectorLink is the state of the exchange with a collector.
type collectorLink struct {
	// candidateIndex is the index of the collector in the list of candidates, modulo
	// the number of candidates that are tried.
	candidateIndex int
	address        string
	// failing is set when the last exchange failed.
	failing bool
	// failedAt is the time of the last failed exchange.
	failedAt time.Time
	// boardID is the field Board of the last reply, which identifies the collector's
	// board.
	boardID uint64
	// afterNumber is the number of the newest observation on the collector's board
	// at the last reply.
	afterNumber uint64
	// sentNumber is the number of the newest observation on the local board that
	// was sent to the collector.
	sentNumber uint64
}

// selectCollector returns the address of the collector. It resets the state of the
// exchange if the collector has changed, since the new one has received nothing.
func (l *collectorLink) selectCollector(now time.Time, addresses []string) string {
	if l.candidateIndex > 0 && now.Sub(l.failedAt) >= failbackInterval {
		l.candidateIndex = 0
	}
	address := addresses[l.candidateIndex%min(len(addresses), maxCandidates)]
	if address != l.address {
		*l = collectorLink{candidateIndex: l.candidateIndex, address: address, failing: l.failing, failedAt: l.failedAt}
	}
	return address
}

// exchangeDuty is the state of the duty that exchanges observations with the
// collectors.
type exchangeDuty struct {
	*Exchanger
	domainLink collectorLink
	globalLink collectorLink
	// forwardedNumber is the number of the newest observation on the local board
	// that was forwarded to the ring of remote observations.
	forwardedNumber uint64
}

// runExchange is the loop of the duty that exchanges observations.
func (e *Exchanger) runExchange(ctx context.Context) error {
	x := &exchangeDuty{Exchanger: e}
	for duty.Pause(ctx, exchangeInterval) {
		candidates := e.opts.Candidates()
		if !candidates.normalize() {
			continue // no other process is listed
		}
		if candidates.isAlone() {
			e.recordExchange()
		}
		x.exchangeInDomain(ctx, candidates, e.takeLocal())
	}
	return nil
}

// normalize prepares the lists. A process that is not listed itself, since it stops,
// uses the processes of other failure domains if none of its own is listed. A process
// that is the only listed one collects what such processes send. normalize returns
// false if no process is listed.
func (c *CollectorCandidates) normalize() bool {
	if len(c.DomainAddresses) == 0 {
		c.DomainAddresses = c.AllAddresses
	}
	return len(c.AllAddresses) > 0
}

// isAlone reports whether the process itself is the only candidate.
func (c *CollectorCandidates) isAlone() bool {
	return len(c.AllAddresses) == 1 && c.AllAddresses[0] == c.LocalAddress
}

// exchangeInDomain sends the local batch to the domain collector, or to the next
// candidate if that one does not respond.
func (x *exchangeDuty) exchangeInDomain(ctx context.Context, candidates CollectorCandidates, local batch) {
	for range min(len(candidates.DomainAddresses), 2) {
		if x.domainLink.selectCollector(time.Now(), candidates.DomainAddresses) == candidates.LocalAddress {
			x.collect(ctx, candidates, local)
			return
		}
		if reply := x.exchange(ctx, &x.domainLink, local, false); reply != nil {
			x.deliver(decodeBatch(time.Now(), reply))
			return
		}
	}
	if !local.evidence.Empty() {
		x.localEvidence.Push(local.evidence)
	}
}

// batch is what is sent in one direction of an exchange.
type batch struct {
	observations []Observation
	evidence     quarantine.Evidence
	verdicts     []canary.Verdict
	// linkDelays are the observations of links by the sender, and by those for which it collects.
	linkDelays []links.Delays
	// backlog is nil if the sender does not know it, as in earlier versions.
	backlog *backlog.Summary
}

// message is a request or a reply of an exchange.
type message interface {
	GetSeen() []*wire.Observation
	GetParts() *wire.PartEvidence
	GetVerdicts() []*wire.VersionVerdict
	GetLinks() *wire.LinkDelays
	GetBacklog() *wire.Backlog
}

func decodeBatch(now time.Time, m message) batch {
	return batch{
		observations: decodeObservations(now, m.GetSeen()), evidence: decodeEvidence(now, m.GetParts()), verdicts: decodeVerdicts(m.GetVerdicts()),
		linkDelays: decodeLinkDelays(m.GetLinks()),
		backlog:    decodeBacklog(m.GetBacklog()),
	}
}

// takeLocal returns what this process has recorded since the last exchange.
func (e *Exchanger) takeLocal() batch {
	local := batch{backlog: e.takeBacklog()}
	for o, ok := e.local.TryReceive(); ok; o, ok = e.local.TryReceive() {
		local.observations = append(local.observations, o)
	}
	for more, ok := e.localEvidence.TryReceive(); ok; more, ok = e.localEvidence.TryReceive() {
		local.evidence.Crashes = append(local.evidence.Crashes, more.Crashes...)
		local.evidence.Answers = append(local.evidence.Answers, more.Answers...)
		local.evidence.States = append(local.evidence.States, more.States...)
	}
	for v, ok := e.localVerdicts.TryReceive(); ok; v, ok = e.localVerdicts.TryReceive() {
		local.verdicts = append(local.verdicts, v)
	}
	local.linkDelays, _ = e.localLinkDelays.TryReceive()
	return local
}

// deliver forwards what other processes have sent.
func (e *Exchanger) deliver(received batch) {
	if len(received.observations) > 0 {
		e.remote.Push(received.observations)
	}
	if !received.evidence.Empty() {
		e.remoteEvidence.Push(received.evidence)
	}
	if len(received.verdicts) > 0 {
		e.remoteVerdicts.Push(received.verdicts)
	}
	if len(received.linkDelays) > 0 {
		e.remoteLinkDelays.Push(received.linkDelays)
	}
	if received.backlog != nil {
		e.remoteBacklog.Push(*received.backlog)
	}
}

// collect runs one exchange as the domain collector. It adds the local observations
// to the local board, exchanges the domain's observations with the global collector
// and forwards the new observations of the board to the ring of remote observations.
func (x *exchangeDuty) collect(ctx context.Context, candidates CollectorCandidates, local batch) {
	if _, err := x.exchangeWithBoard(ctx, boardRequest{sender: x.opts.Self, batch: local, afterNumber: x.forwardedNumber}); err != nil {
		return // too many requests wait for the board, or the process is stopping
	}
	if x.globalLink.selectCollector(time.Now(), candidates.AllAddresses) != candidates.LocalAddress {
		outgoing, err := x.exchangeWithBoard(ctx, boardRequest{sender: globalCollectorAlias, afterNumber: x.globalLink.sentNumber, forCollector: true})
		if err != nil {
			return
		}
		previousBoard := x.globalLink.boardID
		if reply := x.exchange(ctx, &x.globalLink, outgoing.batch, true); reply != nil {
			x.globalLink.sentNumber = outgoing.newestNumber
			if previousBoard != 0 && previousBoard != reply.Board {
				x.globalLink.sentNumber = 0 // the collector has restarted and lacks the rest
			}
			received := decodeBatch(time.Now(), reply)
			if _, err := x.exchangeWithBoard(ctx, boardRequest{sender: globalCollectorAlias, batch: received, afterNumber: outgoing.newestNumber}); err != nil {
				return
			}
		}
	}
	if reply, err := x.exchangeWithBoard(ctx, boardRequest{sender: x.opts.Self, afterNumber: x.forwardedNumber}); err == nil {
		x.forwardedNumber = reply.newestNumber
		x.deliver(reply.batch)
	}
}

// exchange sends a batch to a collector and returns its reply. It returns nil on
// failure, and the next exchange uses the next candidate. asDomainCollector is set
// when the batch is that of the failure domain.
func (x *exchangeDuty) exchange(ctx context.Context, l *collectorLink, outgoing batch, asDomainCollector bool) *wire.ShareReply {
	now := time.Now()
	request := &wire.ShareRequest{
		Sender: x.opts.Sender(), Seen: encodeObservations(now, outgoing.observations), Parts: encodeEvidence(now, outgoing.evidence),
		Verdicts: encodeVerdicts(outgoing.verdicts), Backlog: encodeBacklog(outgoing.backlog), Links: encodeLinkDelays(outgoing.linkDelays),
		Board: l.boardID, After: l.afterNumber, Collector: asDomainCollector,
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := x.opts.Exchange(ctx, l.address, request)
	log := x.opts.Log.WithFields(logrus.Fields{"collector": l.address, "for_domains": asDomainCollector})
	if err != nil {
		if !l.failing {
			log.WithField("event", "collector_lost").WithError(err).Warn("exchange of observations with the collector failed")
		}
		l.candidateIndex++
		l.failing, l.failedAt = true, time.Now()
		return nil
	}
	if l.failing {
		log.WithField("event", "collector_regained").Info("exchange of observations with a collector works again")
	}
	if reply.Board != l.boardID {
		x.newBoards.Push(struct{}{})
	}
	x.recordExchange()
	l.failing, l.boardID, l.afterNumber = false, reply.Board, reply.After
	x.opts.ObserveEpoch(reply.GetSender())
	return reply
}
