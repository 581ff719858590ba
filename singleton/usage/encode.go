package usage

import (
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/wire"
)

func encodeWindow(w Window, counts Counts) *wire.MeterWindow {
	out := &wire.MeterWindow{Window: int64(w)}
	for workspace, n := range counts {
		out.Counts = append(out.Counts, &wire.MeterCount{Workspace: string(workspace), Count: n})
	}
	return out
}

func decodeWindow(w *wire.MeterWindow) (Window, Counts) {
	counts := make(Counts, len(w.GetCounts()))
	for _, c := range w.GetCounts() {
		counts[core.WorkspaceID(c.GetWorkspace())] = c.GetCount()
	}
	return Window(w.GetWindow()), counts
}

func encodeReport(r SourceReport) *wire.MeterReport {
	out := &wire.MeterReport{Node: string(r.Node), Incarnation: uint64(r.Incarnation), ThroughMs: r.Through.Milliseconds()}
	for w, counts := range r.Windows {
		out.Windows = append(out.Windows, encodeWindow(w, counts))
	}
	return out
}

func encodeReports(reports []SourceReport) []*wire.MeterReport {
	out := make([]*wire.MeterReport, len(reports))
	for i, r := range reports {
		out[i] = encodeReport(r)
	}
	return out
}

func decodeReports(reports []*wire.MeterReport) []SourceReport {
	out := make([]SourceReport, len(reports))
	for i, r := range reports {
		out[i] = SourceReport{
			Source:  Source{Node: core.NodeID(r.GetNode()), Incarnation: core.Incarnation(r.GetIncarnation())},
			Through: time.Duration(r.GetThroughMs()) * time.Millisecond, Windows: make(map[Window]Counts, len(r.GetWindows())),
		}
		for _, m := range r.GetWindows() {
			w, counts := decodeWindow(m)
			out[i].Windows[w] = counts
		}
	}
	return out
}

// fixedRow is the content of a row with the fixed counts of a window.
type fixedRow struct {
	WindowReport
	// reportedThrough is the last window for which this and all earlier ones need no
	// further report.
	reportedThrough Window
}

func (r fixedRow) encode() ([]byte, error) {
	value, err := proto.Marshal(&wire.UsageRow{Counts: encodeWindow(r.Window, r.Counts), ReportedThrough: int64(r.reportedThrough)})
	return value, errs.Wrap(err, errs.Internal, "report this as a defect", "encoding the counts failed")
}

func decodeFixedRow(value []byte) (fixedRow, error) {
	var row wire.UsageRow
	if err := proto.Unmarshal(value, &row); err != nil {
		return fixedRow{}, errs.Wrap(err, errs.Corrupt, "ignore the row", "the row of a window is invalid")
	}
	w, counts := decodeWindow(row.GetCounts())
	return fixedRow{WindowReport: WindowReport{Window: w, Counts: counts}, reportedThrough: Window(row.GetReportedThrough())}, nil
}
