package placement

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/registry"
)

// Prober probes targets over new connections.
type Prober interface {
	// Probe gets a path from a target over a new connection; any response will do.
	Probe(ctx context.Context, t registry.Target, path string) error
}

// minProbes is the number of targets that are probed although the budget of load
// queries is used up, as that of a coordinator may be.
const minProbes = 2

// ProbeTargets implements reach.Prober. Probes count in the budget of load queries. A
// pool whose targets are all evacuated counts as reached, without probes: this host
// refuses its requests, and handing them to another one gains nothing.
func (b *Balancer) ProbeTargets(ctx context.Context, pool string, n int) (reached, probed int) {
	prober, ok := b.opts.LoadQuerier.(Prober)
	ps := (*b.pools.Load())[pool]
	if !ok || len(ps) == 0 {
		return 0, 0
	}
	if ps.allEvacuated() {
		return n, n
	}
	now := b.opts.Clock.Now()
	p := ps.pickRandom()
	path, _ := p.queryPath()
	targets := lo.Samples(ps.queryable(now), max(b.takeQueries(now, p, n), min(n, minProbes)))
	var count atomic.Int32
	var probes sync.WaitGroup
	for _, t := range targets {
		probes.Go(func() {
			if prober.Probe(ctx, t, path) == nil {
				count.Add(1)
			}
		})
	}
	probes.Wait()
	return int(count.Load()), len(targets)
}

// PoolOf implements reach.Prober.
func (b *Balancer) PoolOf(addr netip.AddrPort) string { return (*b.poolsByAddr.Load())[addr] }

// indexByAddr returns the pool of each target by its address.
func indexByAddr(specs map[string]PoolSpec) map[netip.AddrPort]string {
	index := map[netip.AddrPort]string{}
	for name, spec := range specs {
		for _, t := range spec.Targets {
			index[t.Addr] = name
		}
	}
	return index
}

// queryable returns the targets of a pool that may be queried.
func (ps partitions) queryable(now time.Time) []registry.Target {
	return lo.FlatMap(ps, func(p *partition, _ int) []registry.Target {
		p.mu.Lock()
		defer p.mu.Unlock()
		return lo.FilterMap(p.targets, func(t *target, _ int) (registry.Target, bool) { return t.Target, t.queryable(now) })
	})
}

// Reachability knows whether this host reaches the targets of a pool.
type Reachability interface {
	// Cut reports whether it is known to reach none.
	Cut(pool string) bool
	// Reaches finds out, which may take as long as opening a connection.
	Reaches(ctx context.Context, pool string) bool
	// Suspect has the pool checked.
	Suspect(pool string)
}

// reachTimeout bounds the wait for Reachability.Reaches.
const reachTimeout = 300 * time.Millisecond

// CheckFailure passes on how an attempt ended: at once, or, if its target did not
// respond, in the background, as abandoned if this host reaches none of the pool's
// targets.
func CheckFailure(reach Reachability, pool string, f lb.Feedback, record func(lb.Feedback)) {
	unanswered := (f.Verdict == lb.Failed || f.Verdict == lb.TimedOut) && f.Latency == 0
	if reach == nil || !unanswered {
		record(f)
		return
	}
	reach.Suspect(pool)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
		defer cancel()
		if !reach.Reaches(ctx, pool) {
			f = lb.Feedback{Result: lb.Result{Verdict: lb.Abandoned}}
		}
		record(f)
	}()
}
