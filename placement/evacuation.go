package placement

import (
	"slices"

	"github.com/chestnutfield/chestnutfield/registry"
)

// setDomains sets the failure domains whose targets get no requests and the regions
// of failure domains, also for the targets of later updates.
func (p *partition) setDomains(evacuated []string, regions map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated, p.regions = evacuated, regions
	p.markDomains()
}

// markDomains marks the targets of evacuated failure domains and sets the regions of
// targets. Evacuated targets stay in their partition, but are not chosen, queried or
// probed. Requests for which the partition has no other target are placed elsewhere;
// the others that wait are decided about again. The caller holds the lock.
func (p *partition) markDomains() {
	for _, t := range p.targets {
		t.evacuated, t.region = slices.Contains(p.evacuated, t.FailureDomain), p.regions[t.FailureDomain]
	}
	if len(p.waiters) == 0 {
		return
	}
	if len(p.targets) > 0 {
		p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
			if p.servingInLocked(w.q.Regions) > 0 {
				return false
			}
			w.result <- placeResult{partitionClosed: true}
			return true
		})
	}
	p.wakeDispatcher()
}

// servingLocked returns the number of targets that are not evacuated. The caller
// holds the lock.
func (p *partition) servingLocked() int { return p.servingInLocked(nil) }

// servingCount returns the number of targets that are not evacuated.
func (p *partition) servingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servingLocked()
}

// allEvacuated reports whether there are targets and all are evacuated.
func (p *partition) allEvacuated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets) > 0 && p.servingLocked() == 0
}

// allEvacuated reports whether the pool has targets and all are evacuated.
func (ps partitions) allEvacuated() bool {
	return ps.servingCount() == 0 && slices.ContainsFunc(ps, (*partition).allEvacuated)
}

// isEvacuated reports whether an instance is among the targets and evacuated.
func (p *partition) isEvacuated(instance registry.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.evacuated && t.Instance == instance })
}
