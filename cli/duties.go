package cli

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
)

const (
	// dutyMetrics begins the names of the metrics that a front exports of its duties.
	dutyMetrics = "duties_"
	// maxMetricsBytes is the maximum size of a front's metrics.
	maxMetricsBytes = 4 << 20
)

func newDuties(o *options) *cobra.Command {
	var fronts []string
	cmd := &cobra.Command{
		Use:     "duties",
		Short:   "Show the duties that fronts hold, since when, and what they did last",
		Example: "  waxwingtide duties --front 10.1.0.21:7720 --front 10.2.0.20:7720",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(fronts) == 0 {
				return errs.New(errs.Invalid, "add --front ADDRESS", "no front is given")
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			var all []dutyMetric
			for _, front := range fronts {
				found, err := readDutyMetrics(ctx, front)
				if err != nil {
					return err
				}
				all = append(all, found...)
			}
			return o.printer(cmd).value(all, func(r *rows) {
				r.add("FRONT", "METRIC", "VALUE")
				for _, m := range all {
					r.add(m.Front, m.Name, m.Value)
				}
			})
		},
	}
	cmd.Flags().StringArrayVar(&fronts, "front", nil, "metrics address of a front; may be repeated")
	return cmd
}

// dutyMetric is a metric of a front's duties. The name contains the labels.
type dutyMetric struct {
	Front string `json:"front"`
	Name  string `json:"name"`
	Value string `json:"value"`
}

// metricsHTTP is the client for the metrics of fronts.
var metricsHTTP = httplimit.NewClient()

// readDutyMetrics reads the metrics of a front's duties.
func readDutyMetrics(ctx context.Context, front string) ([]dutyMetric, error) {
	const remedy = "check the metrics address of the front"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front+"/metrics", nil)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, remedy, "invalid address %q", front)
	}
	response, err := httplimit.Do(metricsHTTP, request)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, remedy, "metrics of %s cannot be read", front)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errs.New(errs.Unavailable, remedy, "%s returned status %d", front, response.StatusCode)
	}
	var found []dutyMetric
	lines := bufio.NewScanner(io.LimitReader(response.Body, maxMetricsBytes))
	for lines.Scan() {
		split := strings.LastIndex(lines.Text(), " ")
		if split > 0 && strings.HasPrefix(lines.Text(), dutyMetrics) {
			found = append(found, dutyMetric{Front: front, Name: lines.Text()[:split], Value: lines.Text()[split+1:]})
		}
	}
	return found, errs.Wrap(lines.Err(), errs.Unavailable, remedy, "metrics of %s cannot be read", front)
}
