package operator

import (
	"context"
	"fmt"
	"time"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
)

const (
	// permitTimeout is the maximum duration of one request for a permission. A request
	// without a response is repeated with the same operation id.
	permitTimeout = 4 * time.Second
	// permitRetryInterval is the interval between a failed request and the next one.
	// After a conflict it is checkInterval.
	permitRetryInterval = time.Second
	// countReadInterval is the interval between two reads of the sample counts.
	countReadInterval = time.Second
	// auditActionRollout is the action in the entries of the audit trail.
	auditActionRollout = "rollout"
)

// permitJob is a request for the permission of one stage.
type permitJob struct {
	fence  core.Fence
	model  *bundle.Model
	reason string
	// fromState and toState are the states of the rollout before and after the step.
	fromState, toState facts.RolloutState
	// epoch, bundleDigest and clearedEpoch are those of the view for which the step
	// was decided.
	epoch        core.Epoch
	bundleDigest string
	clearedEpoch core.Epoch
}

type permitResult struct {
	job permitJob
	err error
}

// operationID identifies one step, so that a repeated request has one effect. Two
// holders that decide at the same epoch use the same id, and only one request takes
// effect.
func (j *permitJob) operationID() string {
	return fmt.Sprintf("rollout/%s/%s/%d", j.model.ID, stageName(j.toState), j.epoch)
}

func stageName(s facts.RolloutState) string {
	switch s.Stage {
	case facts.StageLoading:
		return "loading"
	case facts.StageCanary:
		return "canary"
	case facts.StagePromoted:
		if s.Complete() {
			return "complete"
		}
		return "promoted"
	default:
		return "none"
	}
}

// changeHead applies the step to the head in the table. It returns a conflict if,
// since the decision, the bundle or the stage has changed or a restriction of the
// version was lifted. Changes of other models do not matter.
func (j *permitJob) changeHead(h facts.Head) (facts.Head, error) {
	subject := facts.VersionSubject(j.model.ID, j.model.Rollout.To)
	if h.BundleDigest != j.bundleDigest || h.ClearedAt[subject] != j.clearedEpoch || !sameStage(h.Rollouts[j.model.ID], j.fromState) {
		return h, errs.New(errs.Conflict, "read the current state and decide again", "rollout of %s has changed since epoch %d", j.model.ID, j.epoch)
	}
	if j.toState.Stage == facts.StageNone {
		delete(h.Rollouts, j.model.ID)
		return h, nil
	}
	h.Rollouts[j.model.ID] = j.toState
	return h, nil
}

// runPermits is the duty that requests permissions one after another.
func (t *termState) runPermits(ctx context.Context) error {
	for {
		job, err := t.permitJobs.Receive(ctx)
		if err != nil {
			return nil
		}
		result := permitResult{job: job, err: t.requestPermission(ctx, job)}
		if t.permitResults.Send(ctx, result) != nil {
			return nil
		}
	}
}

func (t *termState) requestPermission(ctx context.Context, j permitJob) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	change := func(h facts.Head) (facts.Head, error) {
		// The lease may have expired while the head was read.
		if !t.leaseHeld() {
			return h, errs.New(errs.Stale, "leave the step to the new lease holder", "operators' lease ended before the permission")
		}
		return j.changeHead(h)
	}
	detail := fmt.Sprintf("%s@%s to %s, share %.3g, %d upstreams: %s",
		j.model.ID, j.model.Rollout.To, stageName(j.toState), j.toState.Share, len(j.toState.Upstreams), j.reason)
	_, err := t.Control.Permit(ctx, j.operationID(), change, control.AuditEntry{
		Actor: string(t.Node), Action: auditActionRollout, Detail: detail,
	})
	return err
}

// applyPermitResult records the result of a permission. After a conflict, the next
// check decides with the view that contains the other change.
func (t *termState) applyPermitResult(now time.Time, r permitResult) {
	t.pendingPermitModel = ""
	t.logStep("rollout_"+stageName(r.job.toState), r.job.model, r.job.reason, r.err)
	tracked := t.trackedRollouts[r.job.model.ID]
	if r.err == nil || tracked == nil {
		return
	}
	tracked.retryAt = now.Add(permitRetryInterval)
	if errs.Is(r.err, errs.Conflict) {
		tracked.retryAt = now.Add(checkInterval)
	}
}

// runSampleCounts is the duty that reads the sample counts of all entries.
func (t *termState) runSampleCounts(ctx context.Context) error {
	for {
		keys, err := t.countQueries.Receive(ctx)
		if err != nil {
			return nil
		}
		if len(keys) == 0 {
			continue
		}
		t.countResults.Push(t.readSampleCounts(ctx, keys))
		if !duty.Pause(ctx, countReadInterval) {
			return nil
		}
	}
}

// readSampleCounts reads the counts of rollouts. It omits a rollout if its count
// cannot be read, so that the rollout is not promoted on that count.
func (t *termState) readSampleCounts(ctx context.Context, keys []RolloutKey) map[RolloutKey]uint64 {
	counts := make(map[RolloutKey]uint64, len(keys))
	for _, key := range keys {
		n, err := t.SampleCounter.TotalSamples(ctx, key)
		if err == nil {
			counts[key] = n
		}
	}
	return counts
}
