package gossip

import "waxwingtide.example/waxwingtide/core"

// Readiness decides when a process that has started may accept work. The process
// must have read the head from the platform's table, or received an epoch from a
// process in each failure domain. In both cases the highest epoch received must
// be in force. The epochs from all failure domains prevent a process that starts
// while the table is unavailable from using a bundle older than one that other
// processes already have in force. A process that has become ready remains ready.
type Readiness struct {
	localDomain       core.FailureDomain
	domains           []core.FailureDomain
	epochReceivedFrom map[core.FailureDomain]bool
	highestEpoch      core.Epoch
	tableRead         bool
	ready             bool
}

// NewReadiness returns the readiness of a process in localDomain. domains lists all
// failure domains in the settings.
func NewReadiness(localDomain core.FailureDomain, domains []core.FailureDomain) *Readiness {
	return &Readiness{localDomain: localDomain, domains: domains, epochReceivedFrom: make(map[core.FailureDomain]bool)}
}

// ObserveTableEpoch records that a head with this epoch was read from the table.
func (r *Readiness) ObserveTableEpoch(epoch core.Epoch) {
	r.tableRead = true
	r.observe(epoch)
}

// ObservePeerEpoch records the epoch of a process in a failure domain. Epoch 0 is
// ignored because it means that the process has no head.
func (r *Readiness) ObservePeerEpoch(domain core.FailureDomain, epoch core.Epoch) {
	if epoch == 0 {
		return
	}
	r.epochReceivedFrom[domain] = true
	r.observe(epoch)
}

func (r *Readiness) observe(epoch core.Epoch) { r.highestEpoch = max(r.highestEpoch, epoch) }

// MissingDomains returns the failure domains from which an epoch is still needed.
// It returns nil if the process is ready or has read the table. It omits the local
// domain if no other process is there.
func (r *Readiness) MissingDomains(aloneInDomain bool) []core.FailureDomain {
	if r.ready || r.tableRead {
		return nil
	}
	var missing []core.FailureDomain
	for _, d := range r.domains {
		if !r.epochReceivedFrom[d] && (d != r.localDomain || !aloneInDomain) {
			missing = append(missing, d)
		}
	}
	return missing
}

// Ready reports whether the process may accept work, given the epoch that is in
// force locally.
func (r *Readiness) Ready(epochInForce core.Epoch, aloneInDomain bool) bool {
	if r.ready {
		return true
	}
	sufficient := r.tableRead || len(r.MissingDomains(aloneInDomain)) == 0
	r.ready = sufficient && epochInForce > 0 && epochInForce >= r.highestEpoch
	return r.ready
}
