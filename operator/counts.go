package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/stores"
)

const (
	// countRingSize is the capacity for queued reports of counts. Each report replaces
	// the previous one of its rollout. When the ring is full, the oldest is dropped.
	countRingSize = 64
	// countWriteInterval is the minimum interval between two rounds of writes of one
	// entry.
	countWriteInterval = 500 * time.Millisecond
	// countRefreshInterval is the maximum age of a written count when the count has
	// increased by less than a quarter.
	countRefreshInterval = 5 * time.Second
	// countWriteTimeout is the maximum duration of one write, including the read of
	// the row.
	countWriteTimeout = 2 * time.Second
	// countPageRows is the number of rows in one list request, maxCountPages the
	// maximum number of requests to read the counts of one model.
	countPageRows = 200
	maxCountPages = 20
)

// SampleCounts publishes the numbers of samples of every entry to the driver through
// the platform's table. Each entry has one row for each model and overwrites it. A
// promotion needs the table anyway, and a lost count can only delay a promotion.
//
// An entry writes its count until the model is promoted or the written count reaches
// MaxCountedSamples. It writes at most twice a second. It writes a new count if the
// count has increased by at least a quarter or reached MaxCountedSamples, or if five
// seconds have passed since the last write.
type SampleCounts struct {
	opts    SampleCountsOptions
	reports *ring.Ring[countReport]
}

// SampleCountsOptions configure the SampleCounts of one entry.
type SampleCountsOptions struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	// Table is the platform's table, from control.Control.Table.
	Table stores.Table
	// MaxCountedSamples is the number of samples that is enough for an early
	// promotion. Larger counts are written as this number.
	MaxCountedSamples uint64
	Log               logrus.FieldLogger
}

// countReport is the number of samples of a rollout on this entry.
type countReport struct {
	key     RolloutKey
	samples uint64
}

// NewSampleCounts returns the sample counts of an entry. The error has the kind
// errs.Invalid.
func NewSampleCounts(o SampleCountsOptions) (*SampleCounts, error) {
	if o.Node == "" || o.Table == nil || o.MaxCountedSamples == 0 || o.Log == nil {
		return nil, errs.New(errs.Invalid, "set node, table, maximum of counted samples and log", "sample counts options are incomplete")
	}
	return &SampleCounts{opts: o, reports: ring.New[countReport](countRingSize)}, nil
}

// ReportSamples implements SampleReporter. It never blocks.
func (c *SampleCounts) ReportSamples(key RolloutKey, samples uint64) {
	c.reports.Push(countReport{key, samples})
}

// countRow is the stored value of one entry's count for one model.
type countRow struct {
	From         core.WeightVersion `json:"from"`
	To           core.WeightVersion `json:"to"`
	DeadlineMS   int64              `json:"deadline_ms"`
	ClearedEpoch core.Epoch         `json:"cleared"`
	Samples      uint64             `json:"samples"`
}

func newCountRow(r countReport) countRow {
	return countRow{From: r.key.From, To: r.key.To, DeadlineMS: r.key.DeadlineMS, ClearedEpoch: r.key.ClearedEpoch, Samples: r.samples}
}

func countPartition(m core.ModelID) string { return "samples/" + string(m) }

// writtenCount is the last count that this entry wrote for a model.
type writtenCount struct {
	report countReport
	// rowVersion is the version of the row in the table, valid while rowVersionRead is
	// set.
	rowVersion     uint64
	rowVersionRead bool
	writtenAt      time.Time
}

// countDuty is the state of the counts duty.
type countDuty struct {
	SampleCountsOptions
	pendingReports   map[core.ModelID]countReport
	writtenCounts    map[core.ModelID]*writtenCount
	transactionCount uint64
	// failing is set when the last write failed.
	failing bool
}

// Run is the duty that writes this entry's counts.
func (c *SampleCounts) Run(ctx context.Context) error {
	d := &countDuty{
		SampleCountsOptions: c.opts,
		pendingReports:      make(map[core.ModelID]countReport), writtenCounts: make(map[core.ModelID]*writtenCount),
	}
	for {
		if err := c.receiveReports(ctx, d); err != nil {
			return err
		}
		now := time.Now()
		for model, r := range d.pendingReports {
			if d.writeDue(now, r) {
				d.writeCount(ctx, now, r)
			}
			if w := d.writtenCounts[model]; w != nil && w.report == r {
				delete(d.pendingReports, model)
			}
		}
		if !duty.Pause(ctx, countWriteInterval) {
			return ctx.Err()
		}
	}
}

// receiveReports receives the queued reports. It blocks only if no count is pending.
func (c *SampleCounts) receiveReports(ctx context.Context, d *countDuty) error {
	if len(d.pendingReports) == 0 {
		r, err := c.reports.Receive(ctx)
		if err != nil {
			return err
		}
		d.setPending(r)
	}
	for {
		r, ok := c.reports.TryReceive()
		if !ok {
			return nil
		}
		d.setPending(r)
	}
}

// setPending stores the count as pending unless it is already written. It limits
// counts to MaxCountedSamples, so that larger counts cause no further write.
func (d *countDuty) setPending(r countReport) {
	r.samples = min(r.samples, d.MaxCountedSamples)
	if w := d.writtenCounts[r.key.Model]; w != nil && w.report == r {
		return
	}
	d.pendingReports[r.key.Model] = r
}

// writeDue reports whether a pending count must be written now.
func (d *countDuty) writeDue(now time.Time, r countReport) bool {
	w := d.writtenCounts[r.key.Model]
	if w == nil || w.report.key != r.key || r.samples >= d.MaxCountedSamples {
		return true
	}
	return 4*r.samples >= 5*w.report.samples || now.Sub(w.writtenAt) >= countRefreshInterval
}

// writeCount writes a count to this entry's row. After a failure, when the write may
// have taken effect, the next write reads the version of the row first.
func (d *countDuty) writeCount(ctx context.Context, now time.Time, r countReport) {
	ctx, cancel := context.WithTimeout(ctx, countWriteTimeout)
	defer cancel()
	w := d.writtenCounts[r.key.Model]
	if w == nil {
		w = &writtenCount{}
		d.writtenCounts[r.key.Model] = w
	}
	err := d.replaceRow(ctx, w, r)
	if err == nil {
		w.report, w.writtenAt = r, now
	} else {
		w.rowVersionRead = false
	}
	if (err != nil) != d.failing {
		d.failing = err != nil
		d.Log.WithFields(logrus.Fields{"event": "sample_counts", "written": err == nil, "error": err}).Info("writing of sample counts began to fail or works again, see field written")
	}
}

// replaceRow replaces the row on the condition that its version is unchanged.
func (d *countDuty) replaceRow(ctx context.Context, w *writtenCount, r countReport) error {
	key := stores.Key{Partition: countPartition(r.key.Model), Sort: string(d.Node)}
	if !w.rowVersionRead {
		row, err := d.Table.Get(ctx, key)
		if err != nil {
			return err
		}
		w.rowVersion, w.rowVersionRead = row.Version, true
	}
	value, err := json.Marshal(newCountRow(r))
	if err != nil {
		return err
	}
	d.transactionCount++
	id := fmt.Sprintf("samples/%s/%d/%d", d.Node, d.Incarnation, d.transactionCount)
	if err := d.Table.Transact(ctx, id, []stores.Write{{Key: key, ExpectedVersion: w.rowVersion, Value: value}}); err != nil {
		return err
	}
	w.rowVersion++
	return nil
}

// TotalSamples implements SampleCounter. It stops reading when the sum reaches
// MaxCountedSamples or after maxCountPages requests, and returns the sum of the rows
// read.
func (c *SampleCounts) TotalSamples(ctx context.Context, key RolloutKey) (uint64, error) {
	var total uint64
	lastSort := ""
	for range maxCountPages {
		rows, err := c.opts.Table.List(ctx, countPartition(key.Model), lastSort, countPageRows)
		if err != nil {
			return 0, err
		}
		for _, row := range rows {
			var count countRow
			if err := json.Unmarshal(row.Value, &count); err != nil {
				return 0, errs.Wrap(err, errs.Corrupt, "remove the row from the table", "row %s/%s cannot be read", row.Key.Partition, row.Key.Sort)
			}
			if count == newCountRow(countReport{key, count.Samples}) {
				total += count.Samples
			}
			lastSort = row.Key.Sort
		}
		if total >= c.opts.MaxCountedSamples || len(rows) < countPageRows {
			break
		}
	}
	return total, nil
}
