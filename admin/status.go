package admin

import (
	"cmp"
	"context"
	"slices"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
)

func (s *Server) status(_ context.Context, _ call) (answer, error) {
	v := s.control.View()
	out := Status{
		Epoch: epochOf(v), Members: orEmpty(s.control.Members()), Loads: orEmpty(s.control.Loads()),
		Domains: []DomainStatus{}, Restrictions: []RestrictionStatus{}, Rollouts: []RolloutStatus{},
	}
	if v.HasBundle() {
		out.Ready = true
		out.BundleDigest = v.Head.BundleDigest
		out.BundleVersion = v.Index.Bundle.Version
		out.Domains = domainStatuses(v)
		out.Restrictions = restrictionStatuses(v)
		out.Rollouts = rolloutStatuses(v, s.timing)
	}
	return answer{status: 200, body: out, epoch: &out.Epoch}, nil
}

func domainStatuses(v *facts.View) []DomainStatus {
	byName := make(map[core.FailureDomain]*DomainStatus)
	out := []DomainStatus{}
	for i := range v.Index.Bundle.Upstreams {
		u := &v.Index.Bundle.Upstreams[i]
		d := byName[u.FailureDomain]
		if d == nil {
			d = &DomainStatus{Name: u.FailureDomain}
			byName[u.FailureDomain] = d
		}
		d.Upstreams++
		if v.UpstreamAllowed(u) {
			d.Open++
		}
	}
	for _, d := range byName {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b DomainStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// restrictionStatuses lists the restrictions that hold.
func restrictionStatuses(v *facts.View) []RestrictionStatus {
	out := []RestrictionStatus{}
	for subject, r := range v.Restrictions {
		if r.Stamp >= v.Head.ClearedAt[subject] {
			out = append(out, restrictionStatus(subject, r))
		}
	}
	slices.SortFunc(out, func(a, b RestrictionStatus) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func restrictionStatus(subject facts.Subject, r facts.Restriction) RestrictionStatus {
	return RestrictionStatus{Kind: subjectKinds[subject.Kind], Name: subject.Name, Stamp: r.Stamp, Origin: r.Origin, Reason: r.Reason}
}
