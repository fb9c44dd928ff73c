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

// Connector opens connections to targets.
type Connector interface {
	// Connect opens a new connection to a target and closes it.
	Connect(ctx context.Context, t registry.Target) error
}

// ProbeTargets implements reach.Prober.
func (b *Balancer) ProbeTargets(ctx context.Context, pool string, n int) (reached, probed int) {
	connector, ok := b.opts.LoadQuerier.(Connector)
	if !ok {
		return 0, 0
	}
	targets := lo.Samples((*b.pools.Load())[pool].targets(), n)
	var count atomic.Int32
	var probes sync.WaitGroup
	for _, t := range targets {
		probes.Go(func() {
			if connector.Connect(ctx, t) == nil {
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

// targets returns all targets of a pool.
func (ps partitions) targets() []registry.Target {
	return lo.FlatMap(ps, func(p *partition, _ int) []registry.Target {
		p.mu.Lock()
		defer p.mu.Unlock()
		return lo.Map(p.targets, func(t *target, _ int) registry.Target { return t.Target })
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
