package balance

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
)

var _ lb.LoadExchange = (*Balancer)(nil)

// Outgoing returns the loads of up to limit targets, newest reports
// first. A target in several pools is listed once.
func (b *Balancer) Outgoing(now time.Time, limit int) []lb.TargetLoad {
	var out []lb.TargetLoad
	for _, p := range *b.pools.Load() {
		out = append(out, p.loads(now)...)
	}
	slices.SortFunc(out, func(x, y lb.TargetLoad) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), x.Target.Compare(y.Target))
	})
	out = lo.UniqBy(out, func(l lb.TargetLoad) netip.AddrPort { return l.Target })
	return out[:min(len(out), max(limit, 0))]
}

// idleLoadsAge is the time without requests after which the loads of a pool
// are too old for a peer to use.
const idleLoadsAge = 2 * time.Second

// loads returns the loads of the targets that have reported their load and
// that this host has measured, nil when the pool is idle.
func (p *pool) loads(now time.Time) []lb.TargetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastPick) > idleLoadsAge {
		return nil
	}
	out := make([]lb.TargetLoad, 0, len(p.targets))
	for _, t := range p.targets {
		n, age := t.tracker.LastReport(now)
		if n == load.Absent || t.tracker.Samples() == 0 {
			continue
		}
		out = append(out, lb.TargetLoad{
			Target: t.addr, InFlight: t.tracker.Own, Reported: n, Latency: t.tracker.Latency(), Age: age,
		})
	}
	return out
}

// Incoming merges the loads of a peer, whose ages are relative to now.
// Loads of unknown targets are ignored.
func (b *Balancer) Incoming(now time.Time, _ string, loads []lb.TargetLoad) {
	for _, p := range *b.pools.Load() {
		p.applyPeerLoads(now, loads)
	}
}

func (p *pool) applyPeerLoads(now time.Time, loads []lb.TargetLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range loads {
		t := p.find(l.Target)
		if t == nil {
			continue
		}
		if l.Reported >= 0 && l.Reported <= load.MaxCount && l.Age >= 0 {
			t.tracker.PeerReport(now.Add(-l.Age), l.Reported, now)
		}
		t.tracker.PeerLatency(now, l.Latency)
	}
}

func addrs(ts []*target) []netip.AddrPort {
	return lo.Map(ts, func(t *target, _ int) netip.AddrPort { return t.addr })
}
