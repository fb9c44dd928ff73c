package balance

import (
	"net/netip"
	"time"

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/probe"
)

var _ probe.Source = (*Balancer)(nil)

const (
	// reportAge is the age of a report from which a probe is worth having.
	reportAge = time.Second
	// poolIdle is the time after the last request from which a pool's load
	// isn't worth probing.
	poolIdle = time.Second
	// trialLead is the time before a trial in which its target is probed.
	trialLead = time.Second
)

// Wants says what a probe of a target would teach.
func (b *Balancer) Wants(now time.Time, poolName string, addr netip.AddrPort) probe.Want {
	p, ok := b.pool(poolName)
	if !ok {
		return probe.Nothing
	}
	return p.wants(now, addr)
}

func (p *pool) wants(now time.Time, addr netip.AddrPort) probe.Want {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.find(addr)
	if t == nil || t.drained {
		return probe.Nothing
	}
	if p.owner.drains.leaving(now, addr) {
		if p.owner.drains.held(now, addr) {
			return probe.Health
		}
		return probe.Nothing
	}
	if t.health.phase == aside {
		if t.health.until.Sub(now) <= trialLead {
			return probe.Health
		}
		return probe.Nothing
	}
	if n, age := t.know.Reported(now); (n == load.Absent || age > reportAge) && now.Sub(p.lastPick) < poolIdle {
		return probe.Load
	}
	return probe.Nothing
}

// Probed takes the answer of a probe. A failed one puts off the trial of a
// target that is set aside; a sound one alone doesn't bring it back, since
// health endpoints mislead. A target that no longer says that it leaves takes
// new work again once its mark is old enough.
func (b *Balancer) Probed(now time.Time, addr netip.AddrPort, a probe.Answer) {
	for _, p := range *b.pools.Load() {
		p.probed(now, addr, a)
	}
	switch {
	case a.Draining:
		b.learnDrain(now, addr)
	case !a.Failed:
		b.drains.clear(now, addr)
	}
}

func (p *pool) probed(now time.Time, addr netip.AddrPort, a probe.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.find(addr)
	if t == nil {
		return
	}
	if a.Failed && t.health.phase == aside {
		t.health.setAside(now, p.hosts(), p.rng)
	}
	if a.Report != "" {
		t.report(now, a.Report, p.typical)
		p.observe(now, t)
	}
}
