package balance

import (
	"net/netip"
	"time"

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/probe"
)

var _ probe.Source = (*Balancer)(nil)

const (
	// staleReportAge is the age above which a load report is refreshed by a
	// probe.
	staleReportAge = time.Second
	// idlePoolAge is the time without requests after which the load of a pool is
	// no longer probed.
	idlePoolAge = time.Second
	// trialProbeLead is how long before its trial an ejected target is probed.
	trialProbeLead = time.Second
)

// ProbeKind returns the kind of probe that is useful for a target now, probe.None
// when none is.
func (b *Balancer) ProbeKind(now time.Time, poolName string, addr netip.AddrPort) probe.Kind {
	p, ok := b.pool(poolName)
	if !ok {
		return probe.None
	}
	return p.probeKind(now, addr)
}

func (p *pool) probeKind(now time.Time, addr netip.AddrPort) probe.Kind {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.find(addr)
	if t == nil || t.drainListed {
		return probe.None
	}
	if p.balancer.drains.draining(now, addr) {
		if p.balancer.drains.clearable(now, addr) {
			return probe.Health
		}
		return probe.None
	}
	if t.health.phase == ejected {
		if t.health.ejectedUntil.Sub(now) <= trialProbeLead {
			return probe.Health
		}
		return probe.None
	}
	if t.cold != nil && t.cold.readingDue(now) {
		return probe.Load
	}
	if n, age := t.tracker.LastReport(now); (n == load.Absent || age > staleReportAge) && now.Sub(p.lastPick) < idlePoolAge {
		return probe.Load
	}
	return probe.None
}

// ProbeDone records the result of a probe. A failed probe ejects a target again
// that is already ejected. A successful probe alone doesn't end an ejection,
// because health endpoints can be misleading. A target that no longer says that
// it is draining accepts new requests once its drain mark is old enough.
func (b *Balancer) ProbeDone(now time.Time, addr netip.AddrPort, r probe.Result) {
	if !r.Failed {
		b.readWarmup(now, addr, r)
	}
	for _, p := range *b.pools.Load() {
		p.applyProbe(now, addr, r)
	}
	switch {
	case r.Draining:
		b.recordDrain(now, addr)
	case !r.Failed:
		b.drains.clear(now, addr)
	}
}

func (p *pool) applyProbe(now time.Time, addr netip.AddrPort, r probe.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.find(addr)
	if t == nil {
		return
	}
	if r.Failed && t.health.phase == ejected {
		t.health.eject(now, p.shareDivisor(), p.rng)
	}
	if r.Report != "" {
		t.applyReport(now, r.Report, p.stats)
		p.observe(now, t)
	}
}
