package host

import (
	"net/netip"
	"slices"

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
	// leaving are the targets that the host list takes away, by pool.
	leaving map[string][]netip.AddrPort
	// probes are the targets that may be probed.
	probes []probe.Target
}

// resolveFunc returns the targets of a pool and those of them that leave.
type resolveFunc func(p table.Pool) (targets []table.Target, leaving []netip.AddrPort)

// statesFunc returns the states of the targets of a pool or group.
type statesFunc func(pool string) map[netip.AddrPort]string

// buildSpecs derives the specs of all parts from one version of the tables.
func buildSpecs(t *table.Tables, resolve resolveFunc, states statesFunc) specs {
	s := specs{
		targets: map[string]balance.PoolSpec{}, pools: map[string]handoff.PoolSpec{},
		direct: map[string]limit.Capacity{}, groups: map[string]limit.Capacity{}, slots: map[string]int{},
		leaving: map[string][]netip.AddrPort{},
	}
	for _, pool := range t.Pools {
		targets, leaving := resolve(pool)
		s.leaving[pool.Name] = slices.Clone(leaving)
		s.add(pool, targets, append(leaving, pool.Drain...), states)
	}
	return s
}

func (s *specs) add(pool table.Pool, targets []table.Target, drain []netip.AddrPort, states statesFunc) {
	direct := pool.Policy
	if pool.Owned() {
		direct = ""
	}
	s.targets[pool.Name] = balance.PoolSpec{
		Targets: targets, Drain: drain, Slots: pool.Slots, Connections: pool.Connections, Policy: direct,
	}
	open := staying(targets, drain, states(pool.Name))
	s.direct[pool.Name] = limit.Capacity{Targets: len(open), Slots: pool.Slots}
	s.probes = append(s.probes, probeTargets(pool, targets)...)
	if !pool.Owned() {
		return
	}
	s.pools[pool.Name] = handoff.PoolSpec{Targets: open, Slots: pool.Slots}
	for g, members := range owner.Split(pool.Name, targets) {
		s.addGroup(g, pool, members, drain, states(g.String()))
	}
}

func (s *specs) addGroup(g owner.Group, pool table.Pool, members []table.Target, drain []netip.AddrPort, states map[netip.AddrPort]string) {
	name := g.String()
	s.targets[name] = balance.PoolSpec{
		Targets: members, Drain: drain, Slots: pool.Slots, Connections: pool.Connections,
		Policy: groupPolicy, Exclusive: true,
	}
	open := staying(members, drain, states)
	working := lo.CountBy(open, func(t table.Target) bool {
		return states[t.Addr] != balance.StateSetAside && states[t.Addr] != balance.StateTrial
	})
	// The balancer uses half of the targets whatever their state.
	working = max(working, (len(open)+1)/2)
	s.groups[name] = limit.Capacity{Targets: working, Slots: pool.Slots}
	s.slots[name] = working * max(1, pool.Slots)
}

// staying returns the targets that may take new work.
func staying(targets []table.Target, drain []netip.AddrPort, states map[netip.AddrPort]string) []table.Target {
	return lo.Filter(targets, func(t table.Target, _ int) bool {
		return states[t.Addr] != balance.StateLeaving && !lo.Contains(drain, t.Addr)
	})
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
