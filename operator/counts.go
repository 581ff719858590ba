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
	// reportsCapacity is the ring of counts; each replaces the one before.
	reportsCapacity = 64
	// countInterval is the least time between two writes of one entry.
	countInterval = 500 * time.Millisecond
	// countRefresh is the time after which a count that grew little is written.
	countRefresh = 5 * time.Second
	// countTimeout bounds one write with its reading.
	countTimeout = 2 * time.Second
	// countPage and countPages bound the reading of one model's counts.
	countPage  = 200
	countPages = 20
)

// SampleCounts carries the number of samples from every entry to the driver through
// the table: one row for each entry and model, which is written over. The
// table is a sound carrier because a promotion needs it too, and a lost count
// can only delay a promotion.
//
// An entry writes while a version is in its canary stage and the entry has
// fewer samples than a promotion needs: when its count has grown by a quarter
// or five seconds have passed, and at most twice a second.
type SampleCounts struct {
	opts SampleCountsOptions
	in   *ring.Ring[countReport]
}

// SampleCountsOptions configure the counts of one entry.
type SampleCountsOptions struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	// Table is control.Control.Table.
	Table stores.Table
	// RequiredSamples is the number of samples that a promotion needs at most.
	RequiredSamples uint64
	Log             logrus.FieldLogger
}

type countReport struct {
	key     RolloutKey
	samples uint64
}

// NewSampleCounts checks the options. Errors have the kind Invalid.
func NewSampleCounts(o SampleCountsOptions) (*SampleCounts, error) {
	if o.Node == "" || o.Table == nil || o.RequiredSamples == 0 || o.Log == nil {
		return nil, errs.New(errs.Invalid, "set node, table, required samples and log", "options of sample counts are incomplete")
	}
	return &SampleCounts{opts: o, in: ring.New[countReport](reportsCapacity)}, nil
}

// ReportSamples implements SampleReporter.
func (c *SampleCounts) ReportSamples(key RolloutKey, samples uint64) {
	c.in.Push(countReport{key, samples})
}

// countRow is one entry's count for one model.
type countRow struct {
	From       core.WeightVersion `json:"from"`
	To         core.WeightVersion `json:"to"`
	DeadlineMS int64              `json:"deadline_ms"`
	Cleared    core.Epoch         `json:"cleared"`
	Samples    uint64             `json:"samples"`
}

func rowOf(r countReport) countRow {
	return countRow{From: r.key.From, To: r.key.To, DeadlineMS: r.key.DeadlineMS, Cleared: r.key.ClearedEpoch, Samples: r.samples}
}

func countPartition(m core.ModelID) string { return "samples/" + string(m) }

// written is what this entry last wrote for a model.
type written struct {
	report  countReport
	version uint64
	known   bool
	at      time.Time
}

// countsDuty is the state of the Run duty.
type countsDuty struct {
	SampleCountsOptions
	latest  map[core.ModelID]countReport
	written map[core.ModelID]*written
	writes  uint64
	failing bool
}

// Run is the duty that writes this entry's counts.
func (c *SampleCounts) Run(ctx context.Context) error {
	d := &countsDuty{
		SampleCountsOptions: c.opts,
		latest:              make(map[core.ModelID]countReport), written: make(map[core.ModelID]*written),
	}
	for {
		if err := c.next(ctx, d); err != nil {
			return err
		}
		now := time.Now()
		for model, r := range d.latest {
			if d.due(now, r) {
				d.write(ctx, now, r)
			}
			if w := d.written[model]; w != nil && w.report == r {
				delete(d.latest, model)
			}
		}
		if !duty.Pause(ctx, countInterval) {
			return ctx.Err()
		}
	}
}

// next takes in reports. It waits for one only when no count is left to write.
func (c *SampleCounts) next(ctx context.Context, d *countsDuty) error {
	if len(d.latest) == 0 {
		r, err := c.in.Receive(ctx)
		if err != nil {
			return err
		}
		d.note(r)
	}
	for {
		r, ok := c.in.TryReceive()
		if !ok {
			return nil
		}
		d.note(r)
	}
}

// note keeps the latest count. Counts above what a promotion needs are cut, so
// that they are written once.
func (d *countsDuty) note(r countReport) {
	r.samples = min(r.samples, d.RequiredSamples)
	if w := d.written[r.key.Model]; w != nil && w.report == r {
		return
	}
	d.latest[r.key.Model] = r
}

func (d *countsDuty) due(now time.Time, r countReport) bool {
	w := d.written[r.key.Model]
	if w == nil || w.report.key != r.key || r.samples >= d.RequiredSamples {
		return true
	}
	return 4*r.samples >= 5*w.report.samples || now.Sub(w.at) >= countRefresh
}

// write replaces this entry's row. A lost answer makes the next write read the
// version of the row first.
func (d *countsDuty) write(ctx context.Context, now time.Time, r countReport) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	w := d.written[r.key.Model]
	if w == nil {
		w = &written{}
		d.written[r.key.Model] = w
	}
	err := d.replace(ctx, w, r)
	if err == nil {
		w.report, w.at = r, now
	} else {
		w.known = false
	}
	if (err != nil) != d.failing {
		d.failing = err != nil
		d.Log.WithFields(logrus.Fields{"event": "sample_counts", "written": err == nil, "error": err}).Info("writing of sample counts changed")
	}
}

func (d *countsDuty) replace(ctx context.Context, w *written, r countReport) error {
	key := stores.Key{Partition: countPartition(r.key.Model), Sort: string(d.Node)}
	if !w.known {
		row, err := d.Table.Get(ctx, key)
		if err != nil {
			return err
		}
		w.version, w.known = row.Version, true
	}
	value, err := json.Marshal(rowOf(r))
	if err != nil {
		return err
	}
	d.writes++
	id := fmt.Sprintf("samples/%s/%d/%d", d.Node, d.Incarnation, d.writes)
	if err := d.Table.Transact(ctx, id, []stores.Write{{Key: key, ExpectedVersion: w.version, Value: value}}); err != nil {
		return err
	}
	w.version++
	return nil
}

// TotalSamples implements SampleCounter. It stops reading when there are enough.
func (c *SampleCounts) TotalSamples(ctx context.Context, key RolloutKey) (uint64, error) {
	var total uint64
	after := ""
	for range countPages {
		rows, err := c.opts.Table.List(ctx, countPartition(key.Model), after, countPage)
		if err != nil {
			return 0, err
		}
		for _, row := range rows {
			var in countRow
			if err := json.Unmarshal(row.Value, &in); err != nil {
				return 0, errs.Wrap(err, errs.Corrupt, "remove the row from the table", "row %s/%s cannot be read", row.Key.Partition, row.Key.Sort)
			}
			if in == rowOf(countReport{key, in.Samples}) {
				total += in.Samples
			}
			after = row.Key.Sort
		}
		if total >= c.opts.RequiredSamples || len(rows) < countPage {
			break
		}
	}
	return total, nil
}
