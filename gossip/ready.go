package gossip

import "waxwingtide.example/waxwingtide/core"

// Readiness tells when a started process knows enough facts to accept work: it
// has read the head from the table, or it has heard an epoch from a process in
// each failure domain and holds the highest one heard. The second condition
// keeps a process that starts while the table is unavailable from using an
// older bundle than one accepted just before. Once ready, it stays ready.
type Readiness struct {
	self    core.FailureDomain
	domains []core.FailureDomain
	heard   map[core.FailureDomain]bool
	highest core.Epoch
	table   bool
	ready   bool
}

// NewReadiness returns the rule for a process in a failure domain, given all
// failure domains of its settings.
func NewReadiness(self core.FailureDomain, domains []core.FailureDomain) *Readiness {
	return &Readiness{self: self, domains: domains, heard: make(map[core.FailureDomain]bool)}
}

// ObserveTableEpoch notes that the head, with this epoch, was read from the table.
func (r *Readiness) ObserveTableEpoch(epoch core.Epoch) {
	r.table = true
	r.note(epoch)
}

// ObservePeerEpoch notes the epoch of a process in a failure domain. Epoch 0 says that
// the process knows no head, so it does not count.
func (r *Readiness) ObservePeerEpoch(domain core.FailureDomain, epoch core.Epoch) {
	if epoch == 0 {
		return
	}
	r.heard[domain] = true
	r.note(epoch)
}

func (r *Readiness) note(epoch core.Epoch) { r.highest = max(r.highest, epoch) }

// MissingDomains returns the failure domains still to be heard from. A process that
// is alone in its own domain has nobody to hear from there.
func (r *Readiness) MissingDomains(aloneInDomain bool) []core.FailureDomain {
	if r.ready || r.table {
		return nil
	}
	var missing []core.FailureDomain
	for _, d := range r.domains {
		if !r.heard[d] && (d != r.self || !aloneInDomain) {
			missing = append(missing, d)
		}
	}
	return missing
}

// Ready reports whether the process may accept work, given the epoch that it
// has in force.
func (r *Readiness) Ready(inForce core.Epoch, aloneInDomain bool) bool {
	if r.ready {
		return true
	}
	known := r.table || len(r.MissingDomains(aloneInDomain)) == 0
	r.ready = known && inForce > 0 && inForce >= r.highest
	return r.ready
}
