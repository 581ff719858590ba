// Package facts merges permissions and restrictions into one view of the state
// in force. A permission is a conditional transaction in the platform's table
// that raises the epoch. A restriction is merged monotonically, and only a
// permission with a higher epoch lifts it.
package facts

import (
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
)

// SubjectKind is the kind of object that a restriction applies to.
type SubjectKind uint8

// Kinds of subject.
const (
	SubjectDomain   SubjectKind = iota + 1 // a restricted failure domain accepts no new work
	SubjectUpstream                        // a restricted upstream accepts no new work
	SubjectVersion                         // a restricted weight version is withdrawn
)

// String returns the name of the kind in logs and in the audit trail.
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

// Subject identifies the object that a restriction applies to. Name is the
// failure domain, the upstream, or the model and weight version joined by "@".
type Subject struct {
	Kind SubjectKind
	Name string
}

// VersionSubject returns the subject of a model's weight version.
func VersionSubject(m core.ModelID, v core.WeightVersion) Subject {
	return Subject{SubjectVersion, string(m) + "@" + string(v)}
}

// Restriction forbids new work on a subject. It is in force while its stamp is at
// least the epoch at which the subject was last cleared.
type Restriction struct {
	Subject Subject
	// Stamp is the epoch that was in force in the process that raised the
	// restriction, at that time.
	Stamp core.Epoch
	// Origin is the process that raised the restriction, for the audit trail.
	Origin core.NodeID
	// Reason is shown to operators.
	Reason string
	// RaisedMS is the time at which the restriction was raised, in Unix
	// milliseconds by the clock of Origin. It sorts restrictions and decides which
	// of two restrictions with equal stamps is retained. It never decides whether a
	// restriction is in force.
	RaisedMS int64
}

// Stage is the progress of the rollout of a model.
type Stage uint8

// Stages of a rollout.
const (
	StageNone     Stage = iota // all traffic goes to the stable version
	StageLoading               // the new weights are loading and get no traffic
	StageCanary                // the canary share of traffic goes to the new version
	StagePromoted              // the share of traffic on the new version increases to 1
)

// RolloutState is the rollout state of one model.
type RolloutState struct {
	Stage Stage
	// Share is the share of traffic that goes to the new version, from 0 to 1.
	Share float64
	// Upstreams lists the upstreams that load or serve the new version until the
	// rollout is complete.
	Upstreams []core.UpstreamID
}

// Complete reports whether all traffic goes to the new version. A promoted rollout
// without upstreams is complete.
func (s RolloutState) Complete() bool {
	return s.Stage == StagePromoted && (s.Share >= 1 || len(s.Upstreams) == 0)
}

// Head is the state that permissions change. It is one row of the platform's table.
type Head struct {
	Epoch core.Epoch
	// BundleDigest is the SHA-256 of the bundle body in hexadecimal.
	BundleDigest string
	// BundleEpoch is the epoch at which the bundle became active.
	BundleEpoch core.Epoch
	Rollouts    map[core.ModelID]RolloutState
	// ClearedAt contains for each subject the epoch at which its restrictions were
	// last cleared.
	ClearedAt map[Subject]core.Epoch
}

// View is the immutable part of a Snapshot that decisions are based on: the head,
// the bundle index and the restrictions.
type View struct {
	Head         Head
	Index        *bundle.Index
	Restrictions map[Subject]Restriction
}

// HasBundle reports whether the view has a bundle.
func (v *View) HasBundle() bool { return v != nil && v.Index != nil }

// restricted reports whether a restriction on the subject is in force.
func (v *View) restricted(s Subject) bool {
	r, ok := v.Restrictions[s]
	return ok && v.Head.inForce(s, r)
}

// Allowed reports whether new work on the subject is allowed, that is, whether no
// restriction on it is in force.
func (v *View) Allowed(s Subject) bool { return !v.restricted(s) }

// UpstreamAllowed reports whether new work is allowed on the upstream, which
// includes its failure domain.
func (v *View) UpstreamAllowed(u *bundle.Upstream) bool {
	return !v.restricted(Subject{SubjectUpstream, string(u.ID)}) &&
		!v.restricted(Subject{SubjectDomain, string(u.FailureDomain)})
}

// VersionAllowed reports whether new work is allowed with the weight version. It is
// false if the version is withdrawn.
func (v *View) VersionAllowed(m core.ModelID, w core.WeightVersion) bool {
	return !v.restricted(VersionSubject(m, w))
}

// ServedVersion returns the weight version with which an upstream serves new
// requests at the current stage of the rollout. If the new version is withdrawn, it
// returns the stable version.
func (v *View) ServedVersion(u *bundle.Upstream) core.WeightVersion {
	m := v.Index.Models[u.Model]
	if m == nil {
		return ""
	}
	state := v.Head.Rollouts[u.Model]
	if m.Rollout == nil || !v.VersionAllowed(m.ID, m.Rollout.To) {
		return m.Stable
	}
	if state.Complete() {
		return m.Rollout.To
	}
	switch state.Stage {
	case StagePromoted, StageCanary:
		for _, id := range state.Upstreams {
			if id == u.ID {
				return m.Rollout.To
			}
		}
	}
	return m.Stable
}
