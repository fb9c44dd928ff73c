package placement

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/registry"
)

// barred returns the filter of the targets that a request must not be sent to,
// whatever their state: those that it names, and those outside its regions.
func barred(q lb.PlaceQuery) func(t *target) bool {
	return func(t *target) bool { return slices.Contains(q.Exclude, t.Addr) || !t.inRegions(q.Regions) }
}

// inRegions reports whether the target is in one of the regions; nil allows all. A
// target whose region is unknown is in none.
func (t *target) inRegions(regions []string) bool {
	return regions == nil || t.region != "" && slices.Contains(regions, t.region)
}

// servingIn returns the number of targets in regions that are not evacuated.
func (p *partition) servingIn(regions []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servingInLocked(regions)
}

func (p *partition) servingInLocked(regions []string) int {
	return lo.CountBy(p.targets, func(t *target) bool { return !t.evacuated && t.inRegions(regions) })
}

// forQuery returns the partition that a request names, or a random one with targets
// that may serve it when the named one has none; nil when the pool is unknown. If no
// partition has such a target, the request is refused in the one returned.
func (ps partitions) forQuery(q lb.PlaceQuery) *partition {
	p := ps.byNumber(q.Partition)
	if p == nil || q.Regions == nil || p.servingIn(q.Regions) > 0 {
		return p
	}
	if other := ps.pickIn(q.Regions); other != nil {
		return other
	}
	return p
}

// pickIn picks a random partition, weighted by the number of its targets in regions
// that are not evacuated; nil when there are none.
func (ps partitions) pickIn(regions []string) *partition {
	sizes := lo.Map(ps, func(p *partition, _ int) int { return p.servingIn(regions) })
	total := lo.Sum(sizes)
	if total == 0 {
		return nil
	}
	rest := rand.N(total)
	for i, n := range sizes {
		if rest < n {
			return ps[i]
		}
		rest -= n
	}
	return nil
}

// DrawPartitionIn is DrawPartition for a request that only targets in some regions
// may serve, nil for all. It returns 0 when the pool has none.
func (b *Balancer) DrawPartitionIn(pool string, regions []string) int {
	if regions == nil {
		return b.DrawPartition(pool)
	}
	if p := (*b.pools.Load())[pool].pickIn(regions); p != nil {
		return p.number
	}
	return 0
}

// InRegions reports whether an instance is among the targets of a pool and in one of
// the regions; nil allows all.
func (b *Balancer) InRegions(pool string, instance registry.Instance, regions []string) bool {
	if regions == nil {
		return true
	}
	p := (*b.pools.Load())[pool].ofTarget(instance.ID)
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.Instance == instance && t.inRegions(regions) })
}

// UnusableTargets returns the addresses of the targets of a partition that are
// evacuated or outside the regions.
func (b *Balancer) UnusableTargets(pool string, partition int, regions []string) []netip.AddrPort {
	ps := (*b.pools.Load())[pool]
	if partition < 1 || partition > len(ps) {
		return nil
	}
	p := ps[partition-1]
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.FilterMap(p.targets, func(t *target, _ int) (netip.AddrPort, bool) {
		return t.Addr, t.evacuated || !t.inRegions(regions)
	})
}
