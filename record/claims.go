package record

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// tableProbeInterval is the time during which new claims are refused after a
	// claim transaction failed. Claims after this time are written to the table
	// again.
	tableProbeInterval = 250 * time.Millisecond
	// maxRecentResponses is the maximum number of cached responses. With bodies of
	// at most 64 KiB (MaxInlineBytes) they use at most 16 MB.
	maxRecentResponses = 256
)

// claimRequest requests a claim for an attempt from the claims duty.
type claimRequest struct {
	key           stores.Key
	attempt       core.AttemptID
	requestDigest claim.RequestDigest
	decisions     *ring.Ring[claimDecision]
}

// claimDecision is the response to a claimRequest. If mayRun is set, the claim is in
// the table and the attempt may be sent to the service. Otherwise reply is the
// result of the attempt, whose body may still have to be read from the object store.
type claimDecision struct {
	mayRun bool
	reply  Reply
}

// completion reports the result of an attempt to the claims duty.
type completion struct {
	key stores.Key
	// decisions is the ring of the attempt's claimRequest. It identifies the
	// attempt.
	decisions *ring.Ring[claimDecision]
	state     claim.State // Finished, Lost or Released
	response  claim.Response
	// storedReports receives one report: true if nothing remains to be stored for the
	// attempt, false if its result could not be stored.
	storedReports *ring.Ring[bool]
}

// liveCall is an at-most-once call in memory, from its claimRequest until its result
// is in the table.
type liveCall struct {
	claimCall     *claim.Call
	key           stores.Key
	decisions     *ring.Ring[claimDecision]
	storedReports *ring.Ring[bool]
}

// recentResponse is a cached response, which need not be read from the table.
type recentResponse struct {
	requestDigest claim.RequestDigest
	response      claim.Response
}

// claimsDuty is the duty that owns the state of the at-most-once calls.
type claimsDuty struct {
	owner        claim.Owner
	maxLiveCalls int
	log          logrus.FieldLogger
	metrics      *claimMetrics

	claimRequests  *ring.Ring[claimRequest]
	completions    *ring.Ring[completion]
	commitOutcomes *ring.Ring[commitOutcome]
	drainRequests  *ring.Ring[*ring.Ring[struct{}]]
	claimBatches   *ring.Ring[batch]
	resultBatches  *ring.Ring[batch]

	liveCalls          map[stores.Key]*liveCall
	recentResponses    *lru.Cache[stores.Key, recentResponse]
	queuedClaims       []*liveCall
	queuedResults      []*liveCall
	claimBatchPending  bool
	resultBatchPending bool
	drainWaiters       []*ring.Ring[struct{}]
	// nextTableProbe is the time until which new claims are refused.
	nextTableProbe time.Time
}

func (d *claimsDuty) run(ctx context.Context) error {
	for {
		if err := d.receiveAll(); err != nil {
			return err
		}
		d.startBatches()
		d.notifyDrainWaiters()
		d.metrics.liveCalls.Record(ctx, int64(len(d.liveCalls)))
		d.metrics.unstoredResults.Record(ctx, int64(len(d.queuedResults)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.claimRequests.Ready():
		case <-d.completions.Ready():
		case <-d.commitOutcomes.Ready():
		case <-d.drainRequests.Ready():
		}
	}
}

// receiveAll handles all elements in the rings. It handles results before claim
// requests, because results remove calls from memory and so free capacity.
func (d *claimsDuty) receiveAll() error {
	for c, ok := d.commitOutcomes.TryReceive(); ok; c, ok = d.commitOutcomes.TryReceive() {
		if err := d.handleCommitted(c); err != nil {
			return err
		}
	}
	for c, ok := d.completions.TryReceive(); ok; c, ok = d.completions.TryReceive() {
		if err := d.handleCompletion(c); err != nil {
			return err
		}
	}
	d.handleClaimRequests()
	for waiter, ok := d.drainRequests.TryReceive(); ok; waiter, ok = d.drainRequests.TryReceive() {
		d.drainWaiters = append(d.drainWaiters, waiter)
	}
	return nil
}

func (d *claimsDuty) handleClaimRequests() {
	for req, ok := d.claimRequests.TryReceive(); ok; req, ok = d.claimRequests.TryReceive() {
		d.handleClaimRequest(req)
	}
}

func (d *claimsDuty) handleClaimRequest(req claimRequest) {
	if lc, ok := d.liveCalls[req.key]; ok {
		req.decisions.Offer(claimDecision{reply: replyFor(lc.claimCall.DecideDuplicate(req.requestDigest), lc.claimCall.Row().Response)})
		return
	}
	if cached, ok := d.recentResponses.Get(req.key); ok {
		decision := claim.Replay
		if cached.requestDigest != req.requestDigest {
			decision = claim.Mismatch
		}
		req.decisions.Offer(claimDecision{reply: replyFor(decision, cached.response)})
		return
	}
	if time.Now().Before(d.nextTableProbe) {
		d.metrics.refusedClaims.Add(context.Background(), 1)
		req.decisions.Offer(claimDecision{reply: tableUnavailableReply()})
		return
	}
	if len(d.liveCalls) >= d.maxLiveCalls {
		req.decisions.Offer(claimDecision{reply: rejectedReply(wire.RejectReason_REJECT_QUEUE_FULL, "too many calls are under way")})
		return
	}
	lc := &liveCall{claimCall: claim.NewCall(d.owner, req.attempt, req.requestDigest), key: req.key, decisions: req.decisions}
	d.liveCalls[req.key] = lc
	d.queuedClaims = append(d.queuedClaims, lc)
}

// tableUnavailableReply rejects an attempt because its claim or the release of an earlier
// claim is not in the table.
func tableUnavailableReply() Reply {
	return rejectedReply(wire.RejectReason_REJECT_TABLE_UNAVAILABLE, "the claim cannot be written")
}

// replyFor returns the reply for an attempt that must not run. response is the
// response of the earlier attempt and is used only for Replay.
func replyFor(decision claim.Decision, response claim.Response) Reply {
	switch decision {
	case claim.Replay:
		return Reply{Outcome: core.OutcomeFinished, Response: response, Replayed: true}
	case claim.InProgress:
		return Reply{Outcome: core.OutcomeStarted, Detail: "a run of the same key is under way"}
	case claim.Mismatch:
		return Reply{Outcome: core.OutcomeRejected, KeyReused: true, Detail: "the idempotency key belongs to another request"}
	case claim.ReleasePending:
		return tableUnavailableReply()
	default:
		return unknownReply("an earlier attempt with this key may have run")
	}
}

func (d *claimsDuty) startBatches() {
	if !d.claimBatchPending && len(d.queuedClaims) > 0 {
		d.claimBatchPending = true
		d.queuedClaims = startBatch(d.queuedClaims, stores.MaxTransactionWrites, d.claimBatches, false)
	}
	if !d.resultBatchPending && len(d.queuedResults) > 0 {
		d.resultBatchPending = true
		d.queuedResults = startBatch(d.queuedResults, maxBatchResults, d.resultBatches, true)
	}
}

// startBatch sends a batch of up to limit calls to a committer and returns the
// remaining calls. The ring has space, because a committer has at most one batch.
func startBatch(calls []*liveCall, limit int, batches *ring.Ring[batch], hasResults bool) []*liveCall {
	n := min(len(calls), limit)
	b := batch{hasResults: hasResults, calls: append([]*liveCall(nil), calls[:n]...)}
	for _, lc := range b.calls {
		b.writes = append(b.writes, rowWrite{lc.key, lc.claimCall.Version(), lc.claimCall.Row()})
	}
	batches.Offer(b)
	return append([]*liveCall(nil), calls[n:]...)
}

func (d *claimsDuty) handleCommitted(c commitOutcome) error {
	if c.batch.hasResults {
		d.resultBatchPending = false
		return d.handleCommittedResults(c)
	}
	d.claimBatchPending = false
	return d.handleCommittedClaims(c)
}

func (d *claimsDuty) handleCommittedClaims(c commitOutcome) error {
	switch {
	case c.err == nil:
		return d.recordClaimsStored(c.batch.calls)
	case c.currentRows != nil:
		return d.handleClaimConflicts(c)
	}
	d.log.WithFields(logrus.Fields{"event": "claims_refused", "calls": len(c.batch.calls) + len(d.queuedClaims)}).WithError(c.err).Warn("transaction of claims failed; calls that wait for a claim are refused")
	d.nextTableProbe = time.Now().Add(tableProbeInterval)
	d.metrics.refusedClaims.Add(context.Background(), int64(len(c.batch.calls)+len(d.queuedClaims)))
	for _, lc := range append(c.batch.calls, d.queuedClaims...) {
		d.removeWithoutRun(lc, tableUnavailableReply())
	}
	d.queuedClaims = nil
	return nil
}

func (d *claimsDuty) recordClaimsStored(calls []*liveCall) error {
	for _, lc := range calls {
		mayRun, err := lc.claimCall.RecordClaimStored()
		if err != nil {
			return err
		}
		if !mayRun {
			d.queuedResults = append(d.queuedResults, lc)
			continue
		}
		lc.decisions.Offer(claimDecision{mayRun: true})
	}
	return nil
}

func (d *claimsDuty) handleClaimConflicts(c commitOutcome) error {
	for i, lc := range c.batch.calls {
		current := c.currentRows[i]
		decision, err := lc.claimCall.HandleClaimConflict(current.row, current.version)
		if err != nil {
			return err
		}
		if decision == claim.MayClaim {
			d.queuedClaims = append(d.queuedClaims, lc)
			continue
		}
		d.removeWithoutRun(lc, replyFor(decision, current.row.Response))
	}
	return nil
}

// removeWithoutRun removes a call that this incarnation did not run and sends the
// reply of its attempt.
func (d *claimsDuty) removeWithoutRun(lc *liveCall, reply Reply) {
	delete(d.liveCalls, lc.key)
	lc.decisions.Offer(claimDecision{reply: reply})
	if lc.storedReports != nil {
		lc.storedReports.Offer(false)
	}
}

func (d *claimsDuty) handleCommittedResults(c commitOutcome) error {
	if c.err != nil && c.currentRows == nil {
		// The committer stops retrying only when the process stops.
		d.queuedResults = append(d.queuedResults, c.batch.calls...)
		return nil
	}
	for i, lc := range c.batch.calls {
		if c.err == nil {
			if err := lc.claimCall.RecordResultStored(); err != nil {
				return err
			}
			d.removeEnded(lc, true)
			continue
		}
		mustWrite, err := lc.claimCall.HandleResultConflict(c.currentRows[i].row, c.currentRows[i].version)
		if err != nil {
			return err
		}
		if mustWrite {
			d.queuedResults = append(d.queuedResults, lc)
			continue
		}
		// The row cannot be replaced by this call. An equal state is treated as an
		// earlier write of this result that took effect. Another state means that the row does not
		// contain the result.
		d.removeEnded(lc, c.currentRows[i].row.State == lc.claimCall.Row().State)
	}
	return nil
}

// removeEnded removes an ended call and reports to the executor whether the result is
// stored.
func (d *claimsDuty) removeEnded(lc *liveCall, stored bool) {
	delete(d.liveCalls, lc.key)
	row := lc.claimCall.Row()
	if stored && row.State == claim.Finished && len(row.Response.Body) <= MaxInlineBytes {
		d.recentResponses.Add(lc.key, recentResponse{row.RequestDigest, row.Response})
	}
	if lc.storedReports != nil {
		lc.storedReports.Offer(stored)
	}
}

// handleCompletion applies the result of an attempt. It first handles the claim
// requests in the ring, because the claim request of an attempt that was abandoned
// immediately may still be there.
func (d *claimsDuty) handleCompletion(c completion) error {
	d.handleClaimRequests()
	lc, ok := d.liveCalls[c.key]
	if !ok || lc.decisions != c.decisions {
		// The claims duty sent a reply and removed the call before the executor
		// abandoned the attempt. Nothing remains to be stored.
		c.storedReports.Offer(true)
		return nil
	}
	lc.storedReports = c.storedReports
	mustWrite, err := applyCompletion(lc.claimCall, c)
	if err != nil {
		return err
	}
	if mustWrite {
		d.queuedResults = append(d.queuedResults, lc)
	}
	return nil
}

// applyCompletion records the result in the call. It reports whether the result must
// be written now. An attempt that is abandoned before its claim is stored is released
// when the claim is stored.
func applyCompletion(call *claim.Call, c completion) (bool, error) {
	switch c.state {
	case claim.Finished:
		return true, call.Finish(c.response)
	case claim.Released:
		return call.Abandon()
	default:
		return true, call.MarkLost()
	}
}

func (d *claimsDuty) notifyDrainWaiters() {
	if len(d.liveCalls) > 0 {
		return
	}
	for _, waiter := range d.drainWaiters {
		waiter.Offer(struct{}{})
	}
	d.drainWaiters = nil
}

// provesNotSent reports whether an error of the service proves that the call was not
// sent to it.
func provesNotSent(err error) bool {
	return errs.Is(err, errs.Unavailable) || errs.Is(err, errs.Invalid)
}
