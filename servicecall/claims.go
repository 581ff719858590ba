package servicecall

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
	// claim transaction failed. The next claim after it is written to the table.
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
	// storedReports receives whether the result is in the table.
	storedReports *ring.Ring[bool]
}

// liveCall is an at-most-once call in memory, from its claimRequest until its result
// is in the table.
type liveCall struct {
	call          *claim.Call
	key           stores.Key
	decisions     *ring.Ring[claimDecision]
	storedReports *ring.Ring[bool]
}

// recentResponse is a cached response, which need not be read from the table.
type recentResponse struct {
	requestDigest claim.RequestDigest
	response      claim.Response
}

// claims is the duty that owns the state of the calls that may run at most once.
type claims struct {
	owner        claim.Owner
	maxLiveCalls int
	log          logrus.FieldLogger
	metrics      *claimMetrics

	claimRequests *ring.Ring[claimRequest]
	completions   *ring.Ring[completion]
	commitResults *ring.Ring[commitResult]
	drainRequests *ring.Ring[*ring.Ring[struct{}]]
	claimBatches  *ring.Ring[batch]
	resultBatches *ring.Ring[batch]

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

func (d *claims) run(ctx context.Context) error {
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
		case <-d.commitResults.Ready():
		case <-d.drainRequests.Ready():
		}
	}
}

// receiveAll handles all elements in the rings. It handles results before claim
// requests, because results remove calls from memory and so free capacity.
func (d *claims) receiveAll() error {
	for c, ok := d.commitResults.TryReceive(); ok; c, ok = d.commitResults.TryReceive() {
		if err := d.handleCommitResult(c); err != nil {
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

func (d *claims) handleClaimRequests() {
	for req, ok := d.claimRequests.TryReceive(); ok; req, ok = d.claimRequests.TryReceive() {
		d.handleClaimRequest(req)
	}
}

func (d *claims) handleClaimRequest(req claimRequest) {
	if live, ok := d.liveCalls[req.key]; ok {
		req.decisions.Offer(claimDecision{reply: replyFor(live.call.DecideDuplicate(req.requestDigest), live.call.Row().Response)})
		return
	}
	if recent, ok := d.recentResponses.Get(req.key); ok {
		decision := claim.Replay
		if recent.requestDigest != req.requestDigest {
			decision = claim.Mismatch
		}
		req.decisions.Offer(claimDecision{reply: replyFor(decision, recent.response)})
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
	live := &liveCall{call: claim.NewCall(d.owner, req.attempt, req.requestDigest), key: req.key, decisions: req.decisions}
	d.liveCalls[req.key] = live
	d.queuedClaims = append(d.queuedClaims, live)
}

func tableUnavailableReply() Reply {
	return rejectedReply(wire.RejectReason_REJECT_TABLE_UNAVAILABLE, "the claim cannot be written")
}

// replyFor returns the reply to an attempt that must not run. response is the
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

func (d *claims) startBatches() {
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
func startBatch(calls []*liveCall, limit int, to *ring.Ring[batch], hasResults bool) []*liveCall {
	n := min(len(calls), limit)
	b := batch{hasResults: hasResults, calls: append([]*liveCall(nil), calls[:n]...)}
	for _, live := range b.calls {
		b.writes = append(b.writes, rowWrite{live.key, live.call.Version(), live.call.Row()})
	}
	to.Offer(b)
	return append([]*liveCall(nil), calls[n:]...)
}

func (d *claims) handleCommitResult(c commitResult) error {
	if c.batch.hasResults {
		d.resultBatchPending = false
		return d.handleResultsCommit(c)
	}
	d.claimBatchPending = false
	return d.handleClaimsCommit(c)
}

func (d *claims) handleClaimsCommit(c commitResult) error {
	switch {
	case c.err == nil:
		return d.recordClaimsStored(c.batch.calls)
	case c.currentRows != nil:
		return d.handleClaimConflicts(c)
	}
	d.log.WithFields(logrus.Fields{"event": "claims_refused", "calls": len(c.batch.calls) + len(d.queuedClaims)}).WithError(c.err).Warn("transaction of claims failed; calls that wait for a claim are refused")
	d.nextTableProbe = time.Now().Add(tableProbeInterval)
	d.metrics.refusedClaims.Add(context.Background(), int64(len(c.batch.calls)+len(d.queuedClaims)))
	for _, live := range append(c.batch.calls, d.queuedClaims...) {
		d.removeWithoutRun(live, tableUnavailableReply())
	}
	d.queuedClaims = nil
	return nil
}

func (d *claims) recordClaimsStored(calls []*liveCall) error {
	for _, live := range calls {
		mayRun, err := live.call.RecordClaimStored()
		if err != nil {
			return err
		}
		if !mayRun {
			d.queuedResults = append(d.queuedResults, live)
			continue
		}
		live.decisions.Offer(claimDecision{mayRun: true})
	}
	return nil
}

func (d *claims) handleClaimConflicts(c commitResult) error {
	for i, live := range c.batch.calls {
		current := c.currentRows[i]
		decision, err := live.call.HandleClaimConflict(current.row, current.version)
		if err != nil {
			return err
		}
		if decision == claim.MayClaim {
			d.queuedClaims = append(d.queuedClaims, live)
			continue
		}
		d.removeWithoutRun(live, replyFor(decision, current.row.Response))
	}
	return nil
}

// removeWithoutRun removes a call that this incarnation did not run and sends the
// reply of its attempt.
func (d *claims) removeWithoutRun(live *liveCall, reply Reply) {
	delete(d.liveCalls, live.key)
	live.decisions.Offer(claimDecision{reply: reply})
	if live.storedReports != nil {
		live.storedReports.Offer(false)
	}
}

func (d *claims) handleResultsCommit(c commitResult) error {
	if c.err != nil && c.currentRows == nil {
		// The committer stops retrying only when the process stops.
		d.queuedResults = append(d.queuedResults, c.batch.calls...)
		return nil
	}
	for i, live := range c.batch.calls {
		if c.err == nil {
			if err := live.call.RecordResultStored(); err != nil {
				return err
			}
			d.removeEnded(live, true)
			continue
		}
		mustWrite, err := live.call.HandleResultConflict(c.currentRows[i].row, c.currentRows[i].version)
		if err != nil {
			return err
		}
		if mustWrite {
			d.queuedResults = append(d.queuedResults, live)
			continue
		}
		d.removeEnded(live, c.currentRows[i].row.State == live.call.Row().State)
	}
	return nil
}

// removeEnded removes an ended call. stored states whether the call's result is in
// the table. If it is not, the row belongs to another owner.
func (d *claims) removeEnded(live *liveCall, stored bool) {
	delete(d.liveCalls, live.key)
	row := live.call.Row()
	if stored && row.State == claim.Finished && len(row.Response.Body) <= MaxInlineBytes {
		d.recentResponses.Add(live.key, recentResponse{row.RequestDigest, row.Response})
	}
	if live.storedReports != nil {
		live.storedReports.Offer(stored)
	}
}

// handleCompletion applies the result of an attempt. It first handles the claim
// requests in the ring, because the claim request of an attempt that was abandoned
// immediately may still be there.
func (d *claims) handleCompletion(c completion) error {
	d.handleClaimRequests()
	live, ok := d.liveCalls[c.key]
	if !ok || live.decisions != c.decisions {
		// The attempt was given a reply without a run before it was abandoned.
		c.storedReports.Offer(true)
		return nil
	}
	live.storedReports = c.storedReports
	mustWrite, err := applyCompletion(live.call, c)
	if err != nil {
		return err
	}
	if mustWrite {
		d.queuedResults = append(d.queuedResults, live)
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

func (d *claims) notifyDrainWaiters() {
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
