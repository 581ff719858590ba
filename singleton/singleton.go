// Package singleton defines the duties that one process of a deployment performs at a
// time, such as reporting usage and ordering upstreams. Each duty has one or more subjects,
// and each subject has one holder, which has a lease in the platform's store. The packages
// below this one contain the duties. They depend on the interfaces of this package, so that
// tests replace the lease and the platform.
package singleton

import (
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/ring"
)

// Subject is what one holder is responsible for. It is the name of the subject's lease.
type Subject string

// UsageSubject is the subject of all usage reports.
const UsageSubject Subject = "usage"

// scalingPrefix begins the subjects of the number of upstreams.
const scalingPrefix = "scale/"

// ScalingSubject returns the subject of the number of upstreams of a service in a failure
// domain.
func ScalingSubject(service core.ServiceID, domain core.FailureDomain) Subject {
	return Subject(scalingPrefix + string(service) + "/" + string(domain))
}

// IsScaling reports whether a subject is the number of upstreams of a service.
func (s Subject) IsScaling() bool { return strings.HasPrefix(string(s), scalingPrefix) }

// Authority is the right to act for a subject until a point in time.
type Authority struct {
	Subject Subject
	// Holder is this process.
	Holder core.NodeID
	// Fence is larger than the fences of all earlier holders of the subject, also over
	// restores of the store.
	Fence core.Fence
	// Since is when this process became the holder, and StopAt when it must no longer act
	// unless the lease is renewed. Both are times of clock.SinceBoot.
	Since  time.Duration
	StopAt time.Duration
}

// Valid reports whether the holder may act at a time of clock.SinceBoot.
func (a Authority) Valid(now time.Duration) bool { return now < a.StopAt }

// Leases keeps the leases of subjects.
type Leases interface {
	// SetSubjects replaces the subjects that have a holder. All processes of a deployment
	// set the same subjects. The leases decide which process applies for which subject, so
	// that the holders are spread over the processes.
	SetSubjects(subjects []Subject)
	// Authority returns the authority of this process for a subject, or false if it is not
	// the holder. It must be checked immediately before each request to the platform.
	Authority(subject Subject) (Authority, bool)
	// Subscribe returns a ring that has an element after this process has become the
	// holder of a subject or has ceased to be.
	Subscribe() *ring.Ring[struct{}]
}
