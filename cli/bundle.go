package cli

import (
	"context"
	"io"
	"os"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/rollout"
)

const current = "current"

func newBundle(o *options) *cobra.Command {
	return group("bundle", "Propose, compare, sign off and withdraw bundles",
		newCheck(o), newPropose(o), newDiff(o), newSignOff(o), newRoll(o), newBundleWithdraw(o), newHistory(o), newShow(o))
}

// readFile reads a document; "-" is the standard input.
func readFile(cmd *cobra.Command, name string) ([]byte, error) {
	var body []byte
	var err error
	if name == "-" {
		body, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), bundle.MaxBytes+1))
	} else {
		body, err = os.ReadFile(name)
	}
	return body, errs.Wrap(err, errs.Invalid, "name a readable file, or - for the standard input", "bundle cannot be read")
}

func newCheck(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate a bundle file without calling the API",
		Example: "  waxwingtide bundle check bundle.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			b, err := bundle.Parse(body)
			if err != nil {
				return err
			}
			result := checked{Version: b.Version, Warnings: b.Warnings()}
			return o.printer(cmd).value(result, func(r *rows) {
				r.line("bundle %s is valid", b.Version)
				warnings(r, result.Warnings)
			})
		},
	}
}

// checked is the result of a check.
type checked struct {
	Version  string        `json:"version"`
	Warnings bundle.Faults `json:"warnings,omitempty"`
}

func warnings(r *rows, list bundle.Faults) {
	for _, w := range list {
		r.line("warning: %s", w)
	}
}

func newPropose(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "propose FILE",
		Short:   "Store a bundle and show what it would change",
		Example: "  waxwingtide bundle propose bundle.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			return o.run(func(ctx context.Context, c *admin.Client, out printer, _ []string) error {
				p, err := c.Propose(ctx, body)
				if err != nil {
					return err
				}
				return out.value(p, func(r *rows) {
					r.line("digest %s", p.Digest)
					r.line("epoch %d", p.Epoch)
					changes(r, p.Changes)
					warnings(r, p.Warnings)
					for _, refusal := range p.Refusals {
						r.line("refusal: %s", refusal)
					}
				})
			})(cmd, args)
		},
	}
}

func changes(r *rows, list []bundle.Change) {
	for _, c := range list {
		r.line("%s", c)
	}
	if len(list) == 0 {
		r.line("no changes")
	}
}

func newDiff(o *options) *cobra.Command {
	var against string
	cmd := &cobra.Command{
		Use:   "diff DIGEST",
		Short: "Show what a proposed bundle would change",
		Example: "  waxwingtide bundle diff 3f2a...\n" +
			"  waxwingtide bundle diff 3f2a... --against 81bc...",
		Args: cobra.ExactArgs(1),
		RunE: o.run(func(ctx context.Context, c *admin.Client, out printer, args []string) error {
			comparison, err := c.DiffBundle(ctx, args[0], against)
			if err != nil {
				return err
			}
			return out.value(comparison, func(r *rows) { changes(r, comparison.Changes) })
		}),
	}
	cmd.Flags().StringVar(&against, "against", current, "digest to compare with; current is the bundle in force")
	return cmd
}

func newSignOff(o *options) *cobra.Command {
	var epoch uint64
	var retry bool
	cmd := &cobra.Command{
		Use:   "sign-off DIGEST",
		Short: "Put a proposed bundle in force",
		Long: "Put a proposed bundle in force. With the epoch that propose printed, the\n" +
			"sign-off fails if another change came first. Without it, the epoch is read now.",
		Example: "  waxwingtide bundle sign-off 3f2a... --epoch 41",
		Args:    cobra.ExactArgs(1),
	}
	cmd.RunE = o.run(func(ctx context.Context, c *admin.Client, out printer, args []string) error {
		at, err := epochOr(ctx, c, cmd, epoch)
		if err != nil {
			return err
		}
		p, err := c.SignOff(ctx, args[0], at, retry)
		if err != nil {
			return err
		}
		return permission(out, p)
	})
	cmd.Flags().Uint64Var(&epoch, "epoch", 0, "epoch that the change is based on")
	cmd.Flags().BoolVar(&retry, "retry-withdrawn", false, "roll to a version although it was withdrawn")
	return cmd
}

// epochOr returns the epoch flag, or the head's current epoch without the flag.
func epochOr(ctx context.Context, c *admin.Client, cmd *cobra.Command, flag uint64) (core.Epoch, error) {
	if cmd.Flags().Changed("epoch") {
		return core.Epoch(flag), nil
	}
	status, err := c.Status(ctx)
	return status.Epoch, err
}

func permission(out printer, p admin.Permission) error {
	return out.value(p, func(r *rows) { permissionRows(r, p) })
}

func permissionRows(r *rows, p admin.Permission) {
	r.line("epoch %d is in force", p.Epoch)
	r.line("bundle %s", p.BundleDigest)
	for _, plan := range p.Plans {
		printPlan(r, plan)
	}
}

func newRoll(o *options) *cobra.Command {
	var retry bool
	cmd := &cobra.Command{
		Use:     "roll FILE",
		Short:   "Propose a bundle and sign it off in one step",
		Long:    "Propose a bundle, show what it changes and sign it off at the epoch that the\nproposal was compared with. Needs the role signer.",
		Example: "  waxwingtide bundle roll bundle.yaml && waxwingtide rollout watch",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			return o.run(func(ctx context.Context, c *admin.Client, out printer, _ []string) error {
				return roll(ctx, c, out, body, retry)
			})(cmd, args)
		},
	}
	cmd.Flags().BoolVar(&retry, "retry-withdrawn", false, "roll to a version although it was withdrawn")
	return cmd
}

// rolled is the result of a roll.
type rolled struct {
	Proposal   admin.Proposal   `json:"proposal"`
	Permission admin.Permission `json:"permission"`
}

func roll(ctx context.Context, c *admin.Client, out printer, body []byte, retry bool) error {
	p, err := c.Propose(ctx, body)
	if err != nil {
		return err
	}
	signed, err := c.SignOff(ctx, p.Digest, p.Epoch, retry)
	if err != nil {
		return err
	}
	return out.value(rolled{p, signed}, func(r *rows) {
		changes(r, p.Changes)
		warnings(r, p.Warnings)
		permissionRows(r, signed)
	})
}

func newBundleWithdraw(o *options) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:     "withdraw",
		Short:   "Withdraw every new version that the bundle in force rolls to",
		Example: `  waxwingtide bundle withdraw --reason "verdicts are wrong"`,
		Args:    cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *admin.Client, out printer, _ []string) error {
			rollouts, err := c.Rollouts(ctx)
			if err != nil {
				return err
			}
			done := []admin.Withdrawal{}
			for _, status := range rollouts {
				if status.Phase == rollout.PhaseWithdrawn {
					continue
				}
				w, err := c.Withdraw(ctx, status.Model, reason)
				if err != nil {
					return err
				}
				done = append(done, w)
			}
			return out.value(done, func(r *rows) { withdrawals(r, done) })
		}),
	}
	reasonFlag(cmd, &reason)
	return cmd
}

func withdrawals(r *rows, list []admin.Withdrawal) {
	if len(list) == 0 {
		r.line("no rollout to withdraw")
	}
	for _, w := range list {
		r.line("withdrawn %s@%s", w.Model, w.Version)
	}
}

func reasonFlag(cmd *cobra.Command, reason *string) {
	cmd.Flags().StringVar(reason, "reason", "", "reason for the audit trail (required)")
	_ = cmd.MarkFlagRequired("reason")
}

func newHistory(o *options) *cobra.Command {
	return newListing(o, "history", "List the last sign-offs, oldest first", "  waxwingtide bundle history --limit 5",
		func(c *admin.Client) pageFunc { return c.History })
}

func newShow(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "show [DIGEST]",
		Short:   "Print a bundle as YAML or JSON",
		Example: "  waxwingtide bundle show > bundle.yaml",
		Args:    cobra.MaximumNArgs(1),
		RunE: o.run(func(ctx context.Context, c *admin.Client, out printer, args []string) error {
			digest := current
			if len(args) > 0 {
				digest = args[0]
			}
			b, err := c.ShowBundle(ctx, digest)
			if err != nil {
				return err
			}
			body, err := b.Encode()
			if err != nil {
				return err
			}
			return out.value(b, func(r *rows) { r.line("%s", body[:len(body)-1]) })
		}),
	}
}
