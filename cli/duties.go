package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/singleton/dutystatus"
)

func newDuties(o *options) *cobra.Command {
	var addresses []string
	cmd := &cobra.Command{
		Use:     "duties",
		Short:   "Show the duties that fronts hold, since when, and what they did last",
		Example: "  waxwingtide duties --front 10.1.0.21:7720 --front 10.2.0.20:7720",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(addresses) == 0 {
				return errs.New(errs.Invalid, "add --front ADDRESS", "no front is given")
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			var fronts []dutystatus.Front
			for _, address := range addresses {
				front, err := readDuties(ctx, address)
				if err != nil {
					return err
				}
				fronts = append(fronts, front)
			}
			return o.printer(cmd).value(fronts, func(r *rows) { dutyTable(r, fronts) })
		},
	}
	cmd.Flags().StringArrayVar(&addresses, "front", nil, "metrics address of a front; may be repeated")
	return cmd
}

func dutyTable(r *rows, fronts []dutystatus.Front) {
	r.add("SUBJECT", "HOLDER", "FENCE", "HELD SINCE", "LAST")
	for _, front := range fronts {
		for _, d := range front.Duties {
			r.add(d.Subject, front.Node, d.Fence, d.HeldSince.UTC().Format(time.RFC3339), lastAction(d))
		}
	}
}

// dutiesHTTP is the client for the duties of fronts.
var dutiesHTTP = httplimit.NewClient()

// lastAction describes what the holder of a duty did last.
func lastAction(d dutystatus.Duty) string {
	switch {
	case d.Usage != nil:
		text := fmt.Sprintf("window %d with %d calls, sent %s", d.Usage.Window, d.Usage.Calls, d.Usage.SentAt.UTC().Format(time.RFC3339))
		if d.Usage.Late {
			text += " (late)"
		}
		return text
	case d.Upstreams != nil:
		u := d.Upstreams
		text := fmt.Sprintf("desired %d (%s), ordered %d (last change: %s), listed %d", u.Desired, u.Reason, u.Ordered, u.LastChange, u.Listed)
		if u.Uncertain {
			text += ", result of the last order unknown"
		}
		return text
	default:
		return "-"
	}
}

// readDuties reads the duties that a front holds.
func readDuties(ctx context.Context, address string) (front dutystatus.Front, err error) {
	const remedy = "check the metrics address of the front"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+dutystatus.Path, nil)
	if err != nil {
		return front, errs.Wrap(err, errs.Invalid, remedy, "invalid address %q", address)
	}
	response, err := httplimit.Do(dutiesHTTP, request)
	if err != nil {
		return front, errs.Wrap(err, errs.Unavailable, remedy, "duties of %s cannot be read", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return front, errs.New(errs.Unavailable, remedy, "%s returned status %d", address, response.StatusCode)
	}
	front, err = dutystatus.Decode(response.Body)
	return front, errs.Wrap(err, errs.Unavailable, remedy, "duties of %s cannot be read", address)
}
