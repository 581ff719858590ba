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
	// permitTimeout bounds one permission. An unanswered one is asked for again
	// with the same operation id.
	permitTimeout = 4 * time.Second
	// permitRetry is the time to the next try after a failure of the table.
	permitRetry = time.Second
	// sampleInterval is the time between two readings of the sample counts.
	sampleInterval = time.Second
	// actionRollout is the action in the audit trail.
	actionRollout = "rollout"
)

// permitJob asks for the permission of one stage.
type permitJob struct {
	fence    core.Fence
	model    *bundle.Model
	reason   string
	from, to facts.RolloutState
	// epoch, digest and cleared are those that the decision was made under.
	epoch   core.Epoch
	digest  string
	cleared core.Epoch
}

type permitResult struct {
	job permitJob
	err error
}

// operationID names one step, so that a repeated request has one effect. Two
// holders that decide from the same epoch use the same id, and one wins.
func (j *permitJob) operationID() string {
	return fmt.Sprintf("rollout/%s/%s/%d", j.model.ID, stageName(j.to), j.epoch)
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

// change applies the step to the head of the table. The step was decided for
// one bundle and stage; changes of other models do not matter.
func (j *permitJob) change(h facts.Head) (facts.Head, error) {
	subject := facts.VersionSubject(j.model.ID, j.model.Rollout.To)
	if h.BundleDigest != j.digest || h.ClearedAt[subject] != j.cleared || !sameStage(h.Rollouts[j.model.ID], j.from) {
		return h, errs.New(errs.Conflict, "look at the current state and decide again", "rollout of %s has changed since epoch %d", j.model.ID, j.epoch)
	}
	if j.to.Stage == facts.StageNone {
		delete(h.Rollouts, j.model.ID)
		return h, nil
	}
	h.Rollouts[j.model.ID] = j.to
	return h, nil
}

// runPermits is the duty that asks for permissions, one at a time.
func (t *term) runPermits(ctx context.Context) error {
	for {
		job, err := t.permits.Receive(ctx)
		if err != nil {
			return nil
		}
		result := permitResult{job: job, err: t.permitOne(ctx, job)}
		if t.permit.Send(ctx, result) != nil {
			return nil
		}
	}
}

func (t *term) permitOne(ctx context.Context, j permitJob) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	change := func(h facts.Head) (facts.Head, error) {
		// The reading of the head may have taken long.
		if !t.holds() {
			return h, errs.New(errs.Stale, "leave the step to the new holder", "operators' lease has ended")
		}
		return j.change(h)
	}
	detail := fmt.Sprintf("%s@%s to %s, share %.3g, %d upstreams: %s",
		j.model.ID, j.model.Rollout.To, stageName(j.to), j.to.Share, len(j.to.Upstreams), j.reason)
	_, err := t.Control.Permit(ctx, j.operationID(), change, control.AuditEntry{
		Actor: string(t.Node), Action: actionRollout, Detail: detail,
	})
	return err
}

// notePermit takes in the end of a permission. After a conflict the next look
// decides again from the view that the winner brought.
func (t *term) notePermit(now time.Time, r permitResult) {
	t.permitting = ""
	t.event("rollout_"+stageName(r.job.to), r.job.model, r.job.reason, r.err)
	p := t.rollout[r.job.model.ID]
	if r.err == nil || p == nil {
		return
	}
	p.retryAt = now.Add(permitRetry)
	if errs.Is(r.err, errs.Conflict) {
		p.retryAt = now.Add(lookInterval)
	}
}

// runSamples is the duty that reads how many samples all entries have.
func (t *term) runSamples(ctx context.Context) error {
	for {
		keys, err := t.wanted.Receive(ctx)
		if err != nil {
			return nil
		}
		if len(keys) == 0 {
			continue
		}
		t.counted.Push(t.count(ctx, keys))
		if !duty.Pause(ctx, sampleInterval) {
			return nil
		}
	}
}

// count reads the counts; a rollout whose count cannot be read is left out and
// is not promoted on it.
func (t *term) count(ctx context.Context, keys []RolloutKey) map[RolloutKey]uint64 {
	counts := make(map[RolloutKey]uint64, len(keys))
	for _, key := range keys {
		n, err := t.SampleCounter.TotalSamples(ctx, key)
		if err == nil {
			counts[key] = n
		}
	}
	return counts
}
