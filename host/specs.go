package host

import (
	"net/netip"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/limit"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/probe"
	"github.com/chestnutfield/chestnutfield/table"
)

// specs is what the parts need to know of the pools in force.
type specs struct {
	// targets holds pools and groups, by name.
	targets map[string]balance.PoolSpec
	// pools holds the pools as hosts that hand over see them.
	pools map[string]handoff.PoolSpec
	// direct and groups are the capacities of pools and of groups.
	direct map[string]limit.Capacity
	groups map[string]limit.Capacity
	// slots are the slots of each group's targets that take new work.
	slots map[string]int
	// probes are the targets that may be probed.
	probes []probe.Target
}

// resolveFunc returns the targets of a pool and those of them that leave.
type resolveFunc func(p table.Pool) (targets []table.Target, leaving []netip.AddrPort)

// buildSpecs derives the specs of all parts from one version of the tables.
func buildSpecs(t *table.Tables, resolve resolveFunc, usable func(pool string) map[netip.AddrPort]bool) specs {
	s := specs{
		targets: map[string]balance.PoolSpec{}, pools: map[string]handoff.PoolSpec{},
		direct: map[string]limit.Capacity{}, groups: map[string]limit.Capacity{}, slots: map[string]int{},
	}
	for name, pool := range t.Pools {
		targets, leaving := resolve(pool)
		s.add(name, pool, targets, append(leaving, pool.Drain...), usable(name))
	}
	return s
}

func (s *specs) add(name string, pool table.Pool, targets []table.Target, drain []netip.AddrPort, usable map[netip.AddrPort]bool) {
	direct := pool.Policy
	if pool.Owned() {
		direct = ""
	}
	s.targets[name] = balance.PoolSpec{
		Targets: targets, Drain: drain, Slots: pool.Slots, Connections: pool.Connections, Policy: direct,
	}
	open := lo.Filter(targets, func(t table.Target, _ int) bool {
		taking, known := usable[t.Addr]
		return (taking || !known) && !lo.Contains(drain, t.Addr)
	})
	s.direct[name] = limit.Capacity{Targets: len(open), Slots: pool.Slots}
	s.probes = append(s.probes, probeTargets(pool, targets)...)
	if !pool.Owned() {
		return
	}
	s.pools[name] = handoff.PoolSpec{Targets: open, Slots: pool.Slots}
	opened := owner.Split(name, open)
	for g, members := range owner.Split(name, targets) {
		s.targets[g.String()] = balance.PoolSpec{
			Targets: members, Drain: drain, Slots: pool.Slots, Policy: groupPolicy,
		}
		s.groups[g.String()] = limit.Capacity{Targets: len(opened[g]), Slots: pool.Slots}
		s.slots[g.String()] = len(opened[g]) * max(1, pool.Slots)
	}
}

// groupPolicy chooses among the targets of an owned group.
const groupPolicy = balance.Completion

// probeTargets are the targets of a pool as the prober sees them.
func probeTargets(pool table.Pool, targets []table.Target) []probe.Target {
	return lo.Map(targets, func(t table.Target, _ int) probe.Target {
		return probe.Target{
			Pool: pool.Name, Addr: t.Addr, Budget: pool.ProbeBudget,
			LoadPath: pool.LoadPath, HealthPath: pool.HealthPath,
		}
	})
}
