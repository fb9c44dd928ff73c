package balance

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/ports"
)

var _ ports.FigureExchange = (*Balancer)(nil)

// Outgoing returns up to limit figures, those with the freshest reports first.
// A target that stands in several pools has one figure.
func (b *Balancer) Outgoing(now time.Time, limit int) []ports.Figure {
	var out []ports.Figure
	for _, p := range *b.pools.Load() {
		out = append(out, p.figures(now)...)
	}
	slices.SortFunc(out, func(x, y ports.Figure) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), x.Target.Compare(y.Target))
	})
	out = lo.UniqBy(out, func(f ports.Figure) netip.AddrPort { return f.Target })
	return out[:min(len(out), max(limit, 0))]
}

// figuresIdle is the time without requests after which a pool has no figures
// that a peer would take.
const figuresIdle = 2 * time.Second

// figures returns what this host itself heard of its targets.
func (p *pool) figures(now time.Time) []ports.Figure {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastPick) > figuresIdle {
		return nil
	}
	out := make([]ports.Figure, 0, len(p.targets))
	for _, t := range p.targets {
		n, age := t.know.Reported(now)
		if n == load.Absent || t.know.Samples() == 0 {
			continue
		}
		out = append(out, ports.Figure{
			Target: t.addr, InFlight: t.know.Own, Reported: n, Latency: t.know.Latency(), Age: age,
		})
	}
	return out
}

// Incoming merges the figures of a peer, whose ages count from now. Figures
// about unknown targets are skipped.
func (b *Balancer) Incoming(now time.Time, _ string, figures []ports.Figure) {
	for _, p := range *b.pools.Load() {
		p.relayed(now, figures)
	}
}

func (p *pool) relayed(now time.Time, figures []ports.Figure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range figures {
		t := p.find(f.Target)
		if t == nil {
			continue
		}
		if f.Reported >= 0 && f.Reported <= load.MaxCount && f.Age >= 0 {
			t.know.Relayed(now.Add(-f.Age), f.Reported, now)
		}
		t.know.PeerLatency(now, f.Latency)
	}
}

func addrs(ts []*target) []netip.AddrPort {
	return lo.Map(ts, func(t *target, _ int) netip.AddrPort { return t.addr })
}
