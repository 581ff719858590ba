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
	// tableProbeInterval is how long new claims are refused after the table
	// failed before the next one tries it again.
	tableProbeInterval = 250 * time.Millisecond
	// recentAnswers inline answers of at most 64 KiB take at most 16 MB.
	recentAnswers = 256
)

// admission asks the claims duty whether an attempt may run.
type admission struct {
	key     stores.Key
	attempt core.AttemptID
	request claim.RequestDigest
	decide  *ring.Ring[decision]
}

// decision answers an admission. With run set the attempt may be handed over;
// otherwise the reply is final but for a body in the object store.
type decision struct {
	run   bool
	reply Reply
}

// completion reports what became of an attempt.
type completion struct {
	key stores.Key
	// decide is that of the admission and identifies the attempt.
	decide *ring.Ring[decision]
	result claim.State // Finished, Lost or Released
	answer claim.Response
	stored *ring.Ring[bool]
}

// liveCall is a call from its claim until its result is in the table.
type liveCall struct {
	call   *claim.Call
	key    stores.Key
	decide *ring.Ring[decision]
	stored *ring.Ring[bool]
}

// recentAnswer is a stored answer that need not be read from the table.
type recentAnswer struct {
	request claim.RequestDigest
	answer  claim.Response
}

// claims is the duty that owns the calls that may run at most once.
type claims struct {
	owner   claim.Owner
	maxLive int
	log     logrus.FieldLogger
	metrics *claimMetrics

	admissions  *ring.Ring[admission]
	completions *ring.Ring[completion]
	commits     *ring.Ring[committed]
	drains      *ring.Ring[*ring.Ring[struct{}]]
	claimWrites *ring.Ring[batch]
	storeWrites *ring.Ring[batch]

	live     map[stores.Key]*liveCall
	recent   *lru.Cache[stores.Key, recentAnswer]
	toClaim  []*liveCall
	toStore  []*liveCall
	claiming bool
	storing  bool
	waiting  []*ring.Ring[struct{}]
	// reopen is when new claims may try the table again.
	reopen time.Time
}

func (d *claims) run(ctx context.Context) error {
	for {
		if err := d.drainRings(); err != nil {
			return err
		}
		d.startBatches()
		d.reportDrained()
		d.metrics.live.Record(ctx, int64(len(d.live)))
		d.metrics.unstored.Record(ctx, int64(len(d.toStore)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.admissions.Ready():
		case <-d.completions.Ready():
		case <-d.commits.Ready():
		case <-d.drains.Ready():
		}
	}
}

// drainRings handles everything that waits. Results come first, because they
// free room for new calls.
func (d *claims) drainRings() error {
	for c, ok := d.commits.TryReceive(); ok; c, ok = d.commits.TryReceive() {
		if err := d.committed(c); err != nil {
			return err
		}
	}
	for c, ok := d.completions.TryReceive(); ok; c, ok = d.completions.TryReceive() {
		if err := d.complete(c); err != nil {
			return err
		}
	}
	d.drainAdmissions()
	for w, ok := d.drains.TryReceive(); ok; w, ok = d.drains.TryReceive() {
		d.waiting = append(d.waiting, w)
	}
	return nil
}

func (d *claims) drainAdmissions() {
	for a, ok := d.admissions.TryReceive(); ok; a, ok = d.admissions.TryReceive() {
		d.admit(a)
	}
}

func (d *claims) admit(a admission) {
	if live, ok := d.live[a.key]; ok {
		a.decide.Offer(decision{reply: replyFor(live.call.DecideDuplicate(a.request), live.call.Row().Response)})
		return
	}
	if recent, ok := d.recent.Get(a.key); ok {
		verdict := claim.Replay
		if recent.request != a.request {
			verdict = claim.Mismatch
		}
		a.decide.Offer(decision{reply: replyFor(verdict, recent.answer)})
		return
	}
	if time.Now().Before(d.reopen) {
		d.metrics.refused.Add(context.Background(), 1)
		a.decide.Offer(decision{reply: tableUnavailable()})
		return
	}
	if len(d.live) >= d.maxLive {
		a.decide.Offer(decision{reply: rejected(wire.RejectReason_REJECT_QUEUE_FULL, "too many calls are under way")})
		return
	}
	live := &liveCall{call: claim.NewCall(d.owner, a.attempt, a.request), key: a.key, decide: a.decide}
	d.live[a.key] = live
	d.toClaim = append(d.toClaim, live)
}

func tableUnavailable() Reply {
	return rejected(wire.RejectReason_REJECT_TABLE_UNAVAILABLE, "the claim cannot be written")
}

// replyFor gives the reply to an attempt that must not run.
func replyFor(v claim.Decision, a claim.Response) Reply {
	switch v {
	case claim.Replay:
		return Reply{Outcome: core.OutcomeFinished, Response: a, Replayed: true}
	case claim.InProgress:
		return Reply{Outcome: core.OutcomeStarted, Detail: "a run of the same key is under way"}
	case claim.Mismatch:
		return Reply{Outcome: core.OutcomeRejected, KeyReused: true, Detail: "the idempotency key belongs to another request"}
	case claim.ReleasePending:
		return tableUnavailable()
	default:
		return unknown("an earlier attempt with this key may have run")
	}
}

func (d *claims) startBatches() {
	if !d.claiming && len(d.toClaim) > 0 {
		d.claiming = true
		d.toClaim = startBatch(d.toClaim, stores.MaxWrites, d.claimWrites, false)
	}
	if !d.storing && len(d.toStore) > 0 {
		d.storing = true
		d.toStore = startBatch(d.toStore, maxResults, d.storeWrites, true)
	}
}

// startBatch sends up to limit calls to a committer and returns the others. A
// committer has at most one batch, so its ring has room.
func startBatch(calls []*liveCall, limit int, to *ring.Ring[batch], results bool) []*liveCall {
	n := min(len(calls), limit)
	b := batch{results: results, calls: append([]*liveCall(nil), calls[:n]...)}
	for _, live := range b.calls {
		b.rows = append(b.rows, rowWrite{live.key, live.call.Version(), live.call.Row()})
	}
	to.Offer(b)
	return append([]*liveCall(nil), calls[n:]...)
}

func (d *claims) committed(c committed) error {
	if c.batch.results {
		d.storing = false
		return d.resultsCommitted(c)
	}
	d.claiming = false
	return d.claimsCommitted(c)
}

func (d *claims) claimsCommitted(c committed) error {
	switch {
	case c.err == nil:
		return d.claimsStored(c.batch.calls)
	case c.rows != nil:
		return d.claimsConflict(c)
	}
	d.log.WithFields(logrus.Fields{"event": "claims_refused", "calls": len(c.batch.calls) + len(d.toClaim)}).WithError(c.err).Warn("claims cannot be written")
	d.reopen = time.Now().Add(tableProbeInterval)
	d.metrics.refused.Add(context.Background(), int64(len(c.batch.calls)+len(d.toClaim)))
	for _, live := range append(c.batch.calls, d.toClaim...) {
		d.end(live, tableUnavailable())
	}
	d.toClaim = nil
	return nil
}

func (d *claims) claimsStored(calls []*liveCall) error {
	for _, live := range calls {
		run, err := live.call.RecordClaimStored()
		if err != nil {
			return err
		}
		if !run {
			d.toStore = append(d.toStore, live)
			continue
		}
		live.decide.Offer(decision{run: true})
	}
	return nil
}

func (d *claims) claimsConflict(c committed) error {
	for i, live := range c.batch.calls {
		row := c.rows[i]
		verdict, err := live.call.HandleClaimConflict(row.record, row.version)
		if err != nil {
			return err
		}
		if verdict == claim.MayClaim {
			d.toClaim = append(d.toClaim, live)
			continue
		}
		d.end(live, replyFor(verdict, row.record.Response))
	}
	return nil
}

// end forgets a call that was not run by this incarnation.
func (d *claims) end(live *liveCall, reply Reply) {
	delete(d.live, live.key)
	live.decide.Offer(decision{reply: reply})
	if live.stored != nil {
		live.stored.Offer(false)
	}
}

func (d *claims) resultsCommitted(c committed) error {
	if c.err != nil && c.rows == nil {
		// The committer gives up only when the process ends.
		d.toStore = append(d.toStore, c.batch.calls...)
		return nil
	}
	for i, live := range c.batch.calls {
		if c.err == nil {
			if err := live.call.RecordResultStored(); err != nil {
				return err
			}
			d.forget(live, true)
			continue
		}
		again, err := live.call.HandleResultConflict(c.rows[i].record, c.rows[i].version)
		if err != nil {
			return err
		}
		if again {
			d.toStore = append(d.toStore, live)
			continue
		}
		d.forget(live, c.rows[i].record.State == live.call.Row().State)
	}
	return nil
}

// forget drops a call whose result is in the table.
func (d *claims) forget(live *liveCall, stored bool) {
	delete(d.live, live.key)
	record := live.call.Row()
	if stored && record.State == claim.Finished && len(record.Response.Body) <= MaxInlineBytes {
		d.recent.Add(live.key, recentAnswer{record.RequestDigest, record.Response})
	}
	if live.stored != nil {
		live.stored.Offer(stored)
	}
}

// complete handles a result. The attempt's admission was offered before, but an
// attempt that was abandoned at once may still have it in its ring.
func (d *claims) complete(c completion) error {
	d.drainAdmissions()
	live, ok := d.live[c.key]
	if !ok || live.decide != c.decide {
		// The attempt was decided without a run before it was abandoned.
		c.stored.Offer(true)
		return nil
	}
	live.stored = c.stored
	store, err := applyResult(live.call, c)
	if err != nil {
		return err
	}
	if store {
		d.toStore = append(d.toStore, live)
	}
	return nil
}

// applyResult reports whether the result is to be written now.
func applyResult(call *claim.Call, c completion) (bool, error) {
	switch c.result {
	case claim.Finished:
		return true, call.Finish(c.answer)
	case claim.Released:
		return call.Abandon()
	default:
		return true, call.MarkLost()
	}
}

func (d *claims) reportDrained() {
	if len(d.live) > 0 {
		return
	}
	for _, w := range d.waiting {
		w.Offer(struct{}{})
	}
	d.waiting = nil
}

// refusedBeforeRun reports whether an error of the service proves that the
// call was not handed over.
func refusedBeforeRun(err error) bool {
	return errs.Is(err, errs.Unavailable) || errs.Is(err, errs.Invalid)
}
