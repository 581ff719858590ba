// Package facts merges permissions and restrictions into one view of what is
// in force. A permission comes from a conditional transaction in the table and
// raises the epoch. A restriction is merged monotonically and is lifted only
// by a permission with a higher epoch.
package facts

import (
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
)

// SubjectKind is the kind of object that a restriction applies to.
type SubjectKind uint8

// Kinds of subject.
const (
	SubjectDomain   SubjectKind = iota + 1 // a failure domain takes no new work
	SubjectUpstream                        // an upstream takes no new work
	SubjectVersion                         // a weight version is withdrawn
)

// String returns the name of the kind as used in logs and the audit trail.
func (k SubjectKind) String() string {
	switch k {
	case SubjectDomain:
		return "failure_domain"
	case SubjectUpstream:
		return "upstream"
	case SubjectVersion:
		return "version"
	default:
		return "unset"
	}
}

// Subject names what a restriction applies to. Name is the failure domain, the
// upstream, or model and weight version joined by "@".
type Subject struct {
	Kind SubjectKind
	Name string
}

// VersionSubject returns the subject of a model's weight version.
func VersionSubject(m core.ModelID, v core.WeightVersion) Subject {
	return Subject{SubjectVersion, string(m) + "@" + string(v)}
}

// Restriction forbids new work on a subject. It holds while its stamp is at
// least the epoch at which the subject was last cleared.
type Restriction struct {
	Subject Subject
	// Stamp is the epoch known to the process that raised the restriction.
	Stamp core.Epoch
	// Origin is the process that raised it, for the audit trail.
	Origin core.NodeID
	// Reason is shown to operators.
	Reason string
	// RaisedMS is when it was raised, in Unix milliseconds by the clock of
	// Origin. It orders the audit trail and never decides what holds.
	RaisedMS int64
}

// Stage is how far the rollout of a model has come.
type Stage uint8

// Stages of a rollout.
const (
	StageNone     Stage = iota // all traffic on the stable version
	StageLoading               // weights are loading, no traffic yet
	StageCanary                // the canary share is on the new version
	StagePromoted              // all traffic on the new version
)

// ModelStage is the rollout state of one model.
type ModelStage struct {
	Stage Stage
	// Share is the share of traffic on the new version, from 0 to 1.
	Share float64
	// Upstreams serve the new version while the stage is loading or canary, and
	// while it is promoted and not complete.
	Upstreams []core.UpstreamID
}

// Complete reports whether all traffic is on the new version. A promoted stage
// without upstreams is complete.
func (s ModelStage) Complete() bool {
	return s.Stage == StagePromoted && (s.Share >= 1 || len(s.Upstreams) == 0)
}

// Head is the state that permissions change, one row of the table.
type Head struct {
	Epoch core.Epoch
	// BundleDigest is the SHA-256 of the bundle body in hexadecimal.
	BundleDigest string
	// BundleEpoch is the epoch at which the bundle came into force.
	BundleEpoch core.Epoch
	Rollouts    map[core.ModelID]ModelStage
	// ClearedAt gives for each subject the epoch of its last return.
	ClearedAt map[Subject]core.Epoch
}

// View is an immutable snapshot of what is in force in this process.
type View struct {
	Head         Head
	Index        *bundle.Index
	Restrictions map[Subject]Restriction
}

// Ready reports whether a bundle is known.
func (v *View) Ready() bool { return v != nil && v.Index != nil }

// restricted reports whether a restriction on the subject holds.
func (v *View) restricted(s Subject) bool {
	r, ok := v.Restrictions[s]
	return ok && v.Head.holds(s, r)
}

// Open reports whether no restriction on the subject holds.
func (v *View) Open(s Subject) bool { return !v.restricted(s) }

// UpstreamOpen reports whether the upstream may take new work.
func (v *View) UpstreamOpen(u *bundle.Upstream) bool {
	return !v.restricted(Subject{SubjectUpstream, string(u.ID)}) &&
		!v.restricted(Subject{SubjectDomain, string(u.FailureDomain)})
}

// VersionOpen reports whether the version may take new work.
func (v *View) VersionOpen(m core.ModelID, w core.WeightVersion) bool {
	return !v.restricted(VersionSubject(m, w))
}

// ServedVersion returns the weight version that an engine serves to new requests,
// given the rollout stage. A withdrawn new version gives the stable one.
func (v *View) ServedVersion(u *bundle.Upstream) core.WeightVersion {
	m := v.Index.Models[u.Model]
	if m == nil {
		return ""
	}
	stage := v.Head.Rollouts[u.Model]
	if m.Rollout == nil || !v.VersionOpen(m.ID, m.Rollout.To) {
		return m.Stable
	}
	if stage.Complete() {
		return m.Rollout.To
	}
	switch stage.Stage {
	case StagePromoted, StageCanary:
		for _, id := range stage.Upstreams {
			if id == u.ID {
				return m.Rollout.To
			}
		}
	}
	return m.Stable
}
