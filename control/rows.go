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

// Keys of the rows that this package reads and writes.
var (
	headKey = stores.Key{Partition: "head", Sort: "head"}
	// restrictionsKey is the key of a single row with all restrictions in force, so that
	// a reader needs only one request. Lifted restrictions are removed by the transaction
	// that lifts them and by each write of the audit duty.
	restrictionsKey = stores.Key{Partition: "head", Sort: "restrictions"}
	leaseKey        = stores.Key{Partition: "lease", Sort: "operators"}
)

const auditPartition = "audit"

func operationKey(operationID string) stores.Key {
	return stores.Key{Partition: "permit", Sort: operationID}
}

// permissionAuditKey and restrictionAuditKey sort by epoch. The restrictions stamped
// with an epoch are after the permission that set this epoch, sorted by the time at
// which they were raised.
func permissionAuditKey(epoch core.Epoch, operationID string) stores.Key {
	return stores.Key{Partition: auditPartition, Sort: fmt.Sprintf("%020d/p/%s", epoch, operationID)}
}

func restrictionAuditKey(r facts.Restriction) stores.Key {
	sortKey := fmt.Sprintf("%020d/r/%015d/%d/%s", r.Stamp, r.RaisedMS, r.Subject.Kind, r.Subject.Name)
	return stores.Key{Partition: auditPartition, Sort: sortKey}
}

// The types with the suffix JSON are the encoded contents of rows, or elements of them.

type subjectJSON struct {
	Kind facts.SubjectKind `json:"kind"`
	Name string            `json:"name"`
}

type clearedJSON struct {
	subjectJSON
	Epoch core.Epoch `json:"epoch"`
}

type rolloutJSON struct {
	Stage     facts.Stage       `json:"stage"`
	Share     float64           `json:"share"`
	Upstreams []core.UpstreamID `json:"upstreams,omitempty"`
}

type headJSON struct {
	Epoch        core.Epoch                   `json:"epoch"`
	BundleDigest string                       `json:"bundle_digest"`
	BundleEpoch  core.Epoch                   `json:"bundle_epoch"`
	Rollouts     map[core.ModelID]rolloutJSON `json:"rollouts,omitempty"`
	Cleared      []clearedJSON                `json:"cleared,omitempty"`
}

func encodeHead(head *facts.Head) ([]byte, error) {
	content := headJSON{Epoch: head.Epoch, BundleDigest: head.BundleDigest, BundleEpoch: head.BundleEpoch, Rollouts: make(map[core.ModelID]rolloutJSON, len(head.Rollouts))}
	for model, rollout := range head.Rollouts {
		content.Rollouts[model] = rolloutJSON(rollout)
	}
	for subject, epoch := range head.ClearedAt {
		content.Cleared = append(content.Cleared, clearedJSON{subjectJSON(subject), epoch})
	}
	slices.SortFunc(content.Cleared, func(a, b clearedJSON) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return json.Marshal(content)
}

func decodeHead(row stores.Row) (facts.Head, error) {
	var content headJSON
	if err := decodeRow(row, &content); err != nil {
		return facts.Head{}, err
	}
	head := facts.Head{
		Epoch: content.Epoch, BundleDigest: content.BundleDigest, BundleEpoch: content.BundleEpoch,
		Rollouts:  make(map[core.ModelID]facts.RolloutState, len(content.Rollouts)),
		ClearedAt: make(map[facts.Subject]core.Epoch, len(content.Cleared)),
	}
	for model, rollout := range content.Rollouts {
		head.Rollouts[model] = facts.RolloutState(rollout)
	}
	for _, cleared := range content.Cleared {
		head.ClearedAt[facts.Subject(cleared.subjectJSON)] = cleared.Epoch
	}
	return head, nil
}

type restrictionJSON struct {
	subjectJSON
	Stamp    core.Epoch  `json:"stamp"`
	Origin   core.NodeID `json:"origin"`
	Reason   string      `json:"reason"`
	RaisedMS int64       `json:"raised_ms"`
}

func encodeRestrictions(restrictions []facts.Restriction) ([]byte, error) {
	contents := make([]restrictionJSON, len(restrictions))
	for i, r := range restrictions {
		contents[i] = restrictionJSON{subjectJSON(r.Subject), r.Stamp, r.Origin, r.Reason, r.RaisedMS}
	}
	return json.Marshal(contents)
}

func decodeRestrictions(row stores.Row) ([]facts.Restriction, error) {
	var contents []restrictionJSON
	if err := decodeRow(row, &contents); err != nil {
		return nil, err
	}
	restrictions := make([]facts.Restriction, len(contents))
	for i, r := range contents {
		restrictions[i] = facts.Restriction{Subject: facts.Subject(r.subjectJSON), Stamp: r.Stamp, Origin: r.Origin, Reason: r.Reason, RaisedMS: r.RaisedMS}
	}
	return restrictions, nil
}

type leaseJSON struct {
	Holder      core.NodeID      `json:"holder"`
	Incarnation core.Incarnation `json:"incarnation"`
	Fence       core.Fence       `json:"fence"`
	LengthMS    int64            `json:"length_ms"`
}

func encodeLease(r lease.Row) ([]byte, error) {
	return json.Marshal(leaseJSON{r.Holder, r.Incarnation, r.Fence, r.Duration.Milliseconds()})
}

func decodeLease(row stores.Row) (lease.Row, error) {
	var content leaseJSON
	err := decodeRow(row, &content)
	return lease.Row{Holder: content.Holder, Incarnation: content.Incarnation, Fence: content.Fence, Duration: time.Duration(content.LengthMS) * time.Millisecond}, err
}

// decodeRow decodes the JSON value of a row into out. If the row does not exist, out
// remains unchanged.
func decodeRow(row stores.Row, out any) error {
	if row.Version == 0 {
		return nil
	}
	err := json.Unmarshal(row.Value, out)
	return errs.Wrap(err, errs.Corrupt, "repair the row in the table", "row %s/%s cannot be decoded", row.Key.Partition, row.Key.Sort)
}
