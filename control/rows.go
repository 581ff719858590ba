package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/stores"
)

// Keys of the rows that control owns.
var (
	headKey = stores.Key{Partition: "head", Sort: "head"}
	// restrictionsKey is one row with all restrictions in force, so that a
	// reader needs one request and lifted ones leave with the next write.
	restrictionsKey = stores.Key{Partition: "head", Sort: "restrictions"}
	leaseKey        = stores.Key{Partition: "lease", Sort: "operators"}
)

const auditPartition = "audit"

func permitKey(operationID string) stores.Key {
	return stores.Key{Partition: "permit", Sort: operationID}
}

// permissionAuditKey and restrictionAuditKey sort by epoch; the restrictions
// stamped with an epoch follow the permission that raised it, in the order in
// which they were raised.
func permissionAuditKey(epoch core.Epoch, operationID string) stores.Key {
	return stores.Key{Partition: auditPartition, Sort: fmt.Sprintf("%020d/p/%s", epoch, operationID)}
}

func restrictionAuditKey(r facts.Restriction) stores.Key {
	sort := fmt.Sprintf("%020d/r/%015d/%d/%s", r.Stamp, r.RaisedMS, r.Subject.Kind, r.Subject.Name)
	return stores.Key{Partition: auditPartition, Sort: sort}
}

type subjectRow struct {
	Kind facts.SubjectKind `json:"kind"`
	Name string            `json:"name"`
}

type clearedRow struct {
	subjectRow
	Epoch core.Epoch `json:"epoch"`
}

type stageRow struct {
	Stage     facts.Stage       `json:"stage"`
	Share     float64           `json:"share"`
	Upstreams []core.UpstreamID `json:"upstreams,omitempty"`
}

type headRow struct {
	Epoch        core.Epoch                `json:"epoch"`
	BundleDigest string                    `json:"bundle_digest"`
	BundleEpoch  core.Epoch                `json:"bundle_epoch"`
	Rollouts     map[core.ModelID]stageRow `json:"rollouts,omitempty"`
	Cleared      []clearedRow              `json:"cleared,omitempty"`
}

func encodeHead(h *facts.Head) ([]byte, error) {
	row := headRow{Epoch: h.Epoch, BundleDigest: h.BundleDigest, BundleEpoch: h.BundleEpoch, Rollouts: make(map[core.ModelID]stageRow, len(h.Rollouts))}
	for m, s := range h.Rollouts {
		row.Rollouts[m] = stageRow(s)
	}
	for s, e := range h.ClearedAt {
		row.Cleared = append(row.Cleared, clearedRow{subjectRow(s), e})
	}
	slices.SortFunc(row.Cleared, func(a, b clearedRow) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return json.Marshal(row)
}

func decodeHead(row stores.Row) (facts.Head, error) {
	var in headRow
	if err := decode(row, &in); err != nil {
		return facts.Head{}, err
	}
	h := facts.Head{
		Epoch: in.Epoch, BundleDigest: in.BundleDigest, BundleEpoch: in.BundleEpoch,
		Rollouts:  make(map[core.ModelID]facts.RolloutState, len(in.Rollouts)),
		ClearedAt: make(map[facts.Subject]core.Epoch, len(in.Cleared)),
	}
	for m, s := range in.Rollouts {
		h.Rollouts[m] = facts.RolloutState(s)
	}
	for _, s := range in.Cleared {
		h.ClearedAt[facts.Subject(s.subjectRow)] = s.Epoch
	}
	return h, nil
}

type restrictionRow struct {
	subjectRow
	Stamp    core.Epoch  `json:"stamp"`
	Origin   core.NodeID `json:"origin"`
	Reason   string      `json:"reason"`
	RaisedMS int64       `json:"raised_ms"`
}

func encodeRestrictions(list []facts.Restriction) ([]byte, error) {
	rows := make([]restrictionRow, len(list))
	for i, r := range list {
		rows[i] = restrictionRow{subjectRow(r.Subject), r.Stamp, r.Origin, r.Reason, r.RaisedMS}
	}
	return json.Marshal(rows)
}

func decodeRestrictions(row stores.Row) ([]facts.Restriction, error) {
	var rows []restrictionRow
	if err := decode(row, &rows); err != nil {
		return nil, err
	}
	list := make([]facts.Restriction, len(rows))
	for i, r := range rows {
		list[i] = facts.Restriction{Subject: facts.Subject(r.subjectRow), Stamp: r.Stamp, Origin: r.Origin, Reason: r.Reason, RaisedMS: r.RaisedMS}
	}
	return list, nil
}

type leaseRow struct {
	Holder      core.NodeID      `json:"holder"`
	Incarnation core.Incarnation `json:"incarnation"`
	Fence       core.Fence       `json:"fence"`
	LengthMS    int64            `json:"length_ms"`
}

func encodeLease(r lease.Row) ([]byte, error) {
	return json.Marshal(leaseRow{r.Holder, r.Incarnation, r.Fence, r.Duration.Milliseconds()})
}

func decodeLease(row stores.Row) (lease.Row, error) {
	var in leaseRow
	err := decode(row, &in)
	return lease.Row{Holder: in.Holder, Incarnation: in.Incarnation, Fence: in.Fence, Duration: time.Duration(in.LengthMS) * time.Millisecond}, err
}

// decode reads a row's JSON. A row that does not exist leaves out unchanged.
func decode(row stores.Row, out any) error {
	if row.Version == 0 {
		return nil
	}
	err := json.Unmarshal(row.Value, out)
	return errs.Wrap(err, errs.Corrupt, "repair the row in the table", "row %s/%s cannot be read", row.Key.Partition, row.Key.Sort)
}
