package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/admin"
)

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the bundle in force, failure domains, restrictions, rollouts and processes",
		Example: "  waxwingtide status -o json",
		Args:    cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *admin.Client, out printer, _ []string) error {
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return out.value(s, func(r *rows) { statusTables(r, s) })
		}),
	}
}

func statusTables(r *rows, s admin.Status) {
	r.line("ready %t, epoch %d, bundle %s (%s)", s.Ready, s.Epoch, s.BundleVersion, s.BundleDigest)
	r.line("")
	r.add("FAILURE DOMAIN", "UPSTREAMS", "OPEN")
	for _, d := range s.Domains {
		r.add(d.Name, d.Upstreams, d.Open)
	}
	if len(s.Restrictions) > 0 {
		r.line("")
		r.add("RESTRICTED", "NAME", "STAMP", "ORIGIN", "REASON")
		for _, x := range s.Restrictions {
			r.add(x.Kind, x.Name, x.Stamp, x.Origin, x.Reason)
		}
	}
	if len(s.Rollouts) > 0 {
		r.line("")
		rolloutTable(r, s.Rollouts)
	}
	r.line("")
	r.add("PROCESS", "ROLE", "FAILURE DOMAIN", "STATE", "ADDRESS")
	for _, m := range s.Members {
		r.add(m.Node, m.Role, m.FailureDomain, m.State, m.Address)
	}
}

func newAudit(o *options) *cobra.Command {
	return newListing(o, "audit", "List the last changes, oldest first", "  waxwingtide audit --limit 20",
		func(c *admin.Client) pageFunc { return c.Audit })
}

// newListing returns a command that prints the last entries of a list of the
// audit trail.
func newListing(o *options, use, short, example string, list func(c *admin.Client) pageFunc) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use: use, Short: short, Example: example, Args: cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *admin.Client, out printer, _ []string) error {
			entries, err := lastEntries(ctx, list(c), limit)
			if err != nil {
				return err
			}
			return out.value(entries, func(r *rows) { auditTable(r, entries) })
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", 50, "number of entries")
	return cmd
}

// auditPage is the number of entries read with one request.
const auditPage = 1000

type pageFunc func(ctx context.Context, after string, limit int) (admin.AuditPage, error)

// lastEntries reads all pages and keeps the last entries.
func lastEntries(ctx context.Context, read pageFunc, limit int) ([]admin.AuditEntry, error) {
	kept := []admin.AuditEntry{}
	for after := ""; ; {
		page, err := read(ctx, after, auditPage)
		if err != nil {
			return nil, err
		}
		kept = append(kept, page.Entries...)
		kept = kept[max(0, len(kept)-max(limit, 1)):]
		if page.Next == "" {
			return kept, nil
		}
		after = page.Next
	}
}

func auditTable(r *rows, entries []admin.AuditEntry) {
	r.add("TIME", "EPOCH", "ACTOR", "ACTION", "SUBJECT", "DETAIL")
	for _, e := range entries {
		r.add(e.At.Format(time.RFC3339), e.Epoch, e.Actor, e.Action, e.Subject, e.Detail)
	}
}
