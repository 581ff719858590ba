package admin

import (
	"time"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rollout"
)

// Proposal answers the proposal of a bundle.
type Proposal struct {
	Digest  string `json:"digest"`
	Version string `json:"version"`
	// Epoch is the head's epoch that the changes and warnings refer to.
	Epoch   core.Epoch      `json:"epoch"`
	Changes []bundle.Change `json:"changes"`
	// Warnings do not prevent the sign-off.
	Warnings bundle.Faults `json:"warnings,omitempty"`
	// Refusals are the reasons for which a sign-off would be refused now.
	Refusals []string `json:"refusals,omitempty"`
}

// Comparison answers a diff of two bundles.
type Comparison struct {
	From    string          `json:"from"`
	To      string          `json:"to"`
	Changes []bundle.Change `json:"changes"`
}

// Permission answers a change that raised the epoch.
type Permission struct {
	Epoch core.Epoch `json:"epoch"`
	// BundleDigest is the bundle in force.
	BundleDigest string `json:"bundle_digest"`
	// Plans are the schedules of the rollouts that start with a sign-off.
	Plans []rollout.Plan `json:"plans,omitempty"`
}

// AuditPage is one page of the audit trail or of the bundle history.
type AuditPage struct {
	Entries []AuditEntry `json:"entries"`
	// Next is the position of the next page, or empty on the last one.
	Next string `json:"next,omitempty"`
}

// RolloutStatus is the state of one model's rollout.
type RolloutStatus struct {
	Model     core.ModelID       `json:"model"`
	From      core.WeightVersion `json:"from"`
	To        core.WeightVersion `json:"to,omitempty"`
	Phase     rollout.Phase      `json:"phase"`
	Share     float64            `json:"share"`
	Upstreams []core.UpstreamID  `json:"upstreams,omitempty"`
	Plan      *rollout.Plan      `json:"plan,omitempty"`
	// Reason says why the version was withdrawn.
	Reason string `json:"reason,omitempty"`
}

// Reason is the body of a restriction.
type Reason struct {
	Reason string `json:"reason"`
	// DryRun answers with the room that would be left and changes nothing.
	DryRun bool `json:"dry_run,omitempty"`
	// Force drains even when a model or service is left without any upstream.
	Force bool `json:"force,omitempty"`
}

// Withdrawal answers the withdrawal of a version.
type Withdrawal struct {
	Model   core.ModelID       `json:"model"`
	Version core.WeightVersion `json:"version"`
	Stamp   core.Epoch         `json:"stamp"`
}

// Room is what is left for one model or service after a drain, in runs.
type Room struct {
	// Kind is model or service.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Upstreams is the number of open upstreams that are left.
	Upstreams int `json:"upstreams"`
	// Capacity is the sum of their largest windows.
	Capacity int `json:"capacity"`
	// Load is the number of runs and queued calls on all upstreams now.
	Load int `json:"load"`
	// Shed is the part of the load that exceeds the capacity.
	Shed int `json:"shed"`
}

// Drain answers the drain of a failure domain or an upstream.
type Drain struct {
	Subject string     `json:"subject"`
	Stamp   core.Epoch `json:"stamp"`
	// Applied is false for a dry run.
	Applied bool   `json:"applied"`
	Rooms   []Room `json:"rooms"`
}

// RestrictionStatus is one restriction in force.
type RestrictionStatus struct {
	// Kind is domain, upstream or version.
	Kind   string      `json:"kind"`
	Name   string      `json:"name"`
	Stamp  core.Epoch  `json:"stamp"`
	Origin core.NodeID `json:"origin"`
	Reason string      `json:"reason"`
}

// DomainStatus is the state of one failure domain.
type DomainStatus struct {
	Name core.FailureDomain `json:"name"`
	// Upstreams and Open count the domain's upstreams and the open ones.
	Upstreams int `json:"upstreams"`
	Open      int `json:"open"`
}

// Status is an overview of the deployment.
type Status struct {
	Ready         bool                `json:"ready"`
	Epoch         core.Epoch          `json:"epoch"`
	BundleDigest  string              `json:"bundle_digest"`
	BundleVersion string              `json:"bundle_version"`
	Domains       []DomainStatus      `json:"domains"`
	Restrictions  []RestrictionStatus `json:"restrictions"`
	Rollouts      []RolloutStatus     `json:"rollouts"`
	Members       []Member            `json:"members"`
	Loads         []UpstreamLoad      `json:"loads"`
}

// Event is one message of the watch stream.
type Event struct {
	// Type is one of the Event constants.
	Type  string     `json:"type"`
	At    time.Time  `json:"at"`
	Epoch core.Epoch `json:"epoch"`
	// Rollout is set for EventRollout.
	Rollout *RolloutStatus `json:"rollout,omitempty"`
	// Restriction is set for EventRestricted and EventLifted.
	Restriction *RestrictionStatus `json:"restriction,omitempty"`
	// Dropped is the number of events lost so far because the watcher was slow.
	Dropped uint64 `json:"dropped,omitempty"`
}

// Types of event.
const (
	EventHead       = "head"
	EventRollout    = "rollout"
	EventRestricted = "restricted"
	EventLifted     = "lifted"
)

// ErrorBody is the body of every answer with an error status.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	// Type is the name of the error kind, for example "conflict".
	Type    string        `json:"type"`
	Message string        `json:"message"`
	Faults  bundle.Faults `json:"faults,omitempty"`
	// Epoch is the head's current epoch when the type is "conflict".
	Epoch core.Epoch `json:"epoch,omitempty"`
}
