package cli

import (
	"context"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/core"
)

// drainFunc and returnFunc call the API for one kind of subject.
type (
	drainFunc  func(ctx context.Context, c *admin.Client, name string, reason admin.Reason) (admin.Drain, error)
	returnFunc func(ctx context.Context, c *admin.Client, name string, at core.Epoch) (admin.Permission, error)
)

func newDomain(o *options) *cobra.Command {
	drain := func(ctx context.Context, c *admin.Client, name string, reason admin.Reason) (admin.Drain, error) {
		return c.DrainDomain(ctx, core.FailureDomain(name), reason)
	}
	back := func(ctx context.Context, c *admin.Client, name string, at core.Epoch) (admin.Permission, error) {
		return c.ReturnDomain(ctx, core.FailureDomain(name), at)
	}
	return group("domain", "Drain and return failure domains",
		newDrain(o, "failure domain", "domain drain sal-a", drain), newReturn(o, "failure domain", "domain return sal-a", back))
}

func newUpstream(o *options) *cobra.Command {
	drain := func(ctx context.Context, c *admin.Client, name string, reason admin.Reason) (admin.Drain, error) {
		return c.DrainUpstream(ctx, core.UpstreamID(name), reason)
	}
	back := func(ctx context.Context, c *admin.Client, name string, at core.Epoch) (admin.Permission, error) {
		return c.ReturnUpstream(ctx, core.UpstreamID(name), at)
	}
	return group("upstream", "Drain and return upstreams",
		newDrain(o, "upstream", "upstream drain engine-3", drain), newReturn(o, "upstream", "upstream return engine-3", back))
}

func newDrain(o *options, what, example string, call drainFunc) *cobra.Command {
	var reason admin.Reason
	cmd := &cobra.Command{
		Use:   "drain NAME",
		Short: "Take a " + what + " out of service",
		Long: "Take a " + what + " out of service. It takes no new work after a few seconds, and\n" +
			"runs in progress finish or resume elsewhere. This works while the platform's\n" +
			"table is unavailable. The room that is left and the load that exceeds it are\n" +
			"printed first; --dry-run prints them only.",
		Example: "  waxwingtide " + example + ` --reason "maintenance" --dry-run`,
		Args:    cobra.ExactArgs(1),
		RunE: o.run(func(ctx context.Context, c *admin.Client, out printer, args []string) error {
			result, err := call(ctx, c, args[0], reason)
			if err != nil {
				return err
			}
			return out.value(result, func(r *rows) { drainTable(r, result) })
		}),
	}
	reasonFlag(cmd, &reason.Reason)
	cmd.Flags().BoolVar(&reason.DryRun, "dry-run", false, "show the room that would be left and change nothing")
	cmd.Flags().BoolVar(&reason.Force, "force", false, "drain the last open upstream of a model or service too")
	return cmd
}

func drainTable(r *rows, d admin.Drain) {
	r.add("KIND", "NAME", "UPSTREAMS LEFT", "CAPACITY", "LOAD", "SHED")
	for _, room := range d.Rooms {
		r.add(room.Kind, room.Name, room.Upstreams, room.Capacity, room.Load, room.Shed)
	}
	if d.Applied {
		r.line("%s takes no new work", d.Subject)
		return
	}
	r.line("dry run: %s is not drained", d.Subject)
}

func newReturn(o *options, what, example string, call returnFunc) *cobra.Command {
	var epoch uint64
	cmd := &cobra.Command{
		Use:   "return NAME",
		Short: "Put a " + what + " back in service",
		Long: "Put a " + what + " back in service. This needs the platform's table. Its load grows\n" +
			"step by step, as after a cold start.",
		Example: "  waxwingtide " + example,
		Args:    cobra.ExactArgs(1),
	}
	cmd.RunE = o.run(func(ctx context.Context, c *admin.Client, out printer, args []string) error {
		at, err := epochOr(ctx, c, cmd, epoch)
		if err != nil {
			return err
		}
		p, err := call(ctx, c, args[0], at)
		if err != nil {
			return err
		}
		return permission(out, p)
	})
	cmd.Flags().Uint64Var(&epoch, "epoch", 0, "epoch that the change is based on; read now without it")
	return cmd
}
