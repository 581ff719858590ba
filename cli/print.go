package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/errs"
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printer writes results in the chosen form.
type printer struct {
	w    io.Writer
	json bool
}

func (o *options) printer(cmd *cobra.Command) printer {
	return printer{w: cmd.OutOrStdout(), json: o.output == outputJSON}
}

// value writes a value as JSON, or by the function as a table.
func (p printer) value(v any, table func(*rows)) error {
	if p.json {
		encoder := json.NewEncoder(p.w)
		encoder.SetIndent("", "  ")
		return writeFailure(encoder.Encode(v))
	}
	r := &rows{out: tabwriter.NewWriter(p.w, 0, 4, 2, ' ', 0)}
	table(r)
	return writeFailure(r.out.Flush())
}

func writeFailure(err error) error {
	return errs.Wrap(err, errs.Unavailable, "check where the output goes", "result cannot be written")
}

// rows writes lines of aligned columns.
type rows struct{ out *tabwriter.Writer }

func (r *rows) add(columns ...any) {
	for i, c := range columns {
		if i > 0 {
			_, _ = fmt.Fprint(r.out, "\t")
		}
		_, _ = fmt.Fprint(r.out, c)
	}
	_, _ = fmt.Fprintln(r.out)
}

func (r *rows) line(format string, args ...any) { _, _ = fmt.Fprintf(r.out, format+"\n", args...) }
