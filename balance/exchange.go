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

// Outgoing returns the load figures of up to limit targets, newest reports
// first. A target in several pools is listed once.
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

// idleFiguresAge is the time without requests after which the figures of a pool
// are too old for a peer to use.
const idleFiguresAge = 2 * time.Second

// figures returns the load figures of the targets that have reported their load
// and that this host has measured.
func (p *pool) figures(now time.Time) []ports.Figure {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastPick) > idleFiguresAge {
		return nil
	}
	out := make([]ports.Figure, 0, len(p.targets))
	for _, t := range p.targets {
		n, age := t.tracker.LastReport(now)
		if n == load.Absent || t.tracker.Samples() == 0 {
			continue
		}
		out = append(out, ports.Figure{
			Target: t.addr, InFlight: t.tracker.Own, Reported: n, Latency: t.tracker.Latency(), Age: age,
		})
	}
	return out
}

// Incoming merges the load figures of a peer, whose ages are relative to now.
// Figures of unknown targets are ignored.
func (b *Balancer) Incoming(now time.Time, _ string, figures []ports.Figure) {
	for _, p := range *b.pools.Load() {
		p.applyPeerFigures(now, figures)
	}
}

func (p *pool) applyPeerFigures(now time.Time, figures []ports.Figure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range figures {
		t := p.find(f.Target)
		if t == nil {
			continue
		}
		if f.Reported >= 0 && f.Reported <= load.MaxCount && f.Age >= 0 {
			t.tracker.PeerReport(now.Add(-f.Age), f.Reported, now)
		}
		t.tracker.PeerLatency(now, f.Latency)
	}
}

func addrs(ts []*target) []netip.AddrPort {
	return lo.Map(ts, func(t *target, _ int) netip.AddrPort { return t.addr })
}
