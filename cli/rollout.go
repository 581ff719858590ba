package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/rollout"
)

func newRollout(o *options) *cobra.Command {
	return group("rollout", "Follow and withdraw rollouts", newRolloutStatus(o), newWatch(o), newWithdraw(o))
}

func newRolloutStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status [MODEL]",
		Short:   "Show rollouts with their schedules",
		Example: "  waxwingtide rollout status gate-8b",
		Args:    cobra.MaximumNArgs(1),
		RunE: o.run(func(ctx context.Context, c *admin.Client, out printer, args []string) error {
			list, err := rollouts(ctx, c, args)
			if err != nil {
				return err
			}
			return out.value(list, func(r *rows) {
				rolloutTable(r, list)
				for _, status := range list {
					if status.Plan != nil {
						printPlan(r, *status.Plan)
					}
				}
			})
		}),
	}
}

// rollouts returns the rollout of the model in the arguments, or all of them.
func rollouts(ctx context.Context, c *admin.Client, args []string) ([]admin.RolloutStatus, error) {
	if len(args) == 0 {
		return c.Rollouts(ctx)
	}
	status, err := c.Rollout(ctx, core.ModelID(args[0]))
	return []admin.RolloutStatus{status}, err
}

func rolloutTable(r *rows, list []admin.RolloutStatus) {
	r.add("MODEL", "FROM", "TO", "PHASE", "SHARE", "UPSTREAMS", "REASON")
	for _, s := range list {
		r.add(s.Model, s.From, s.To, s.Phase, s.Share, len(s.Upstreams), s.Reason)
	}
}

func printPlan(r *rows, p rollout.Plan) {
	clock := func(t time.Time) string { return t.Format(time.RFC3339) }
	r.line("plan %s %s -> %s: load by %s, canary by %s, promote by %s, done by %s, deadline %s",
		p.Model, p.From, p.To, clock(p.LoadBy), clock(p.CanaryBy), clock(p.PromoteBy), clock(p.DoneBy), clock(p.Deadline))
}

func newWithdraw(o *options) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:     "withdraw MODEL",
		Short:   "Withdraw the version that a model is rolled to",
		Example: `  waxwingtide rollout withdraw gate-8b --reason "answers are wrong"`,
		Args:    cobra.ExactArgs(1),
		RunE: o.run(func(ctx context.Context, c *admin.Client, out printer, args []string) error {
			w, err := c.Withdraw(ctx, core.ModelID(args[0]), reason)
			if err != nil {
				return err
			}
			return out.value(w, func(r *rows) { withdrawals(r, []admin.Withdrawal{w}) })
		}),
	}
	reasonFlag(cmd, &reason)
	return cmd
}

func newWatch(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "watch [MODEL]",
		Short: "Print rollout changes until all are done or withdrawn",
		Long: "Print rollout changes until the rollout of the model, or every rollout, is done\n" +
			"or withdrawn. The exit status is 1 when one was withdrawn.",
		Example: "  waxwingtide rollout watch gate-8b",
		Args:    cobra.MaximumNArgs(1),
		RunE: o.runUnlimited(func(ctx context.Context, c *admin.Client, out printer, args []string) error {
			list, err := rollouts(ctx, c, args)
			if err != nil {
				return err
			}
			w := newWatchState(list)
			if !w.finished() {
				return w.follow(ctx, c, out)
			}
			if err := out.value(list, func(r *rows) { rolloutTable(r, list) }); err != nil {
				return err
			}
			return w.result()
		}),
	}
}

// watchState is what a watch has seen of each rollout.
type watchState struct {
	phases    map[core.ModelID]rollout.Phase
	withdrawn string
}

func newWatchState(list []admin.RolloutStatus) *watchState {
	w := &watchState{phases: make(map[core.ModelID]rollout.Phase)}
	for i := range list {
		w.note(&list[i])
	}
	return w
}

func (w *watchState) note(s *admin.RolloutStatus) {
	w.phases[s.Model] = s.Phase
	if s.Phase == rollout.PhaseWithdrawn {
		w.withdrawn = fmt.Sprintf("%s@%s was withdrawn: %s", s.Model, s.To, s.Reason)
	}
}

func (w *watchState) finished() bool {
	for _, p := range w.phases {
		if p != rollout.PhaseDone && p != rollout.PhaseWithdrawn && p != rollout.PhaseNone {
			return false
		}
	}
	return true
}

const (
	// watchRetries is how often a broken stream is opened again in a row.
	watchRetries = 10
	watchPause   = time.Second
)

var errFinished = errs.New(errs.Internal, "", "watch is finished")

func (w *watchState) follow(ctx context.Context, c *admin.Client, out printer) error {
	for failures := 0; ; failures++ {
		err := c.Watch(ctx, func(e admin.Event) error {
			failures = 0
			return w.event(e, out)
		})
		if errors.Is(err, errFinished) {
			return w.result()
		}
		if !errs.Is(err, errs.Unavailable) || failures >= watchRetries {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchPause):
		}
	}
}

func (w *watchState) event(e admin.Event, out printer) error {
	if e.Rollout == nil {
		return nil
	}
	if _, watched := w.phases[e.Rollout.Model]; !watched {
		return nil
	}
	w.note(e.Rollout)
	err := out.value(e, func(r *rows) {
		s := e.Rollout
		r.line("%s %s %s -> %s %s share %.3f on %d upstreams", e.At.Format(time.RFC3339), s.Model, s.From, s.To, s.Phase, s.Share, len(s.Upstreams))
	})
	if err == nil && w.finished() {
		return errFinished
	}
	return err
}

func (w *watchState) result() error {
	if w.withdrawn == "" {
		return nil
	}
	return errs.New(errs.Stale, "roll to another version", "%s", w.withdrawn)
}
