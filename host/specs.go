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

// specs describes the pools in force to each component. A group is the targets
// of a pool in one failure domain; one host owns it and dispatches its requests.
type specs struct {
	// balancing holds the targets of pools and groups, by name of the pool or
	// group.
	balancing map[string]balance.PoolSpec
	// handoffs holds the pools whose requests are handed over to group owners.
	handoffs map[string]handoff.PoolSpec
	// poolCapacity and groupCapacity are the capacities by pool and by group.
	poolCapacity  map[string]limit.Capacity
	groupCapacity map[string]limit.Capacity
	// groupSlots is the number of slots in each group of the targets that accept
	// new requests.
	groupSlots map[string]int
	// hostListDrains are the targets that drain according to the host list, by
	// pool.
	hostListDrains map[string][]netip.AddrPort
	// probes are the targets that may be probed.
	probes []probe.Target
}

// resolveFunc returns the targets of a pool and those of them that drain
// according to the host list.
type resolveFunc func(p table.Pool) (targets []table.Target, draining []netip.AddrPort)

// statesFunc returns the states of the targets of a pool or group.
type statesFunc func(pool string) map[netip.AddrPort]balance.TargetState

// buildSpecs derives the specs of all components from one version of the
// tables. Targets of evacuated failure domains are left out of all.
func buildSpecs(t *table.Tables, resolve resolveFunc, states statesFunc) specs {
	s := specs{
		balancing: map[string]balance.PoolSpec{}, handoffs: map[string]handoff.PoolSpec{},
		poolCapacity: map[string]limit.Capacity{}, groupCapacity: map[string]limit.Capacity{}, groupSlots: map[string]int{},
		hostListDrains: map[string][]netip.AddrPort{},
	}
	for _, pool := range t.Pools {
		targets, draining := resolve(pool)
		targets = lo.Reject(targets, func(x table.Target, _ int) bool { return slices.Contains(t.Evacuated, x.FailureDomain) })
		s.hostListDrains[pool.Name] = slices.Clone(draining)
		s.addPool(pool, targets, append(draining, pool.Drain...), states)
	}
	return s
}

func (s *specs) addPool(pool table.Pool, targets []table.Target, drain []netip.AddrPort, states statesFunc) {
	policy := pool.Policy
	if pool.UsesOwners() {
		policy = ""
	}
	s.balancing[pool.Name] = balance.PoolSpec{
		Targets: targets, Drain: drain, Slots: pool.Slots, Connections: pool.Connections, Policy: policy,
		Warmup: warmupSpec(pool),
	}
	accepting := notDraining(targets, drain, states(pool.Name))
	s.poolCapacity[pool.Name] = limit.Capacity{Targets: len(accepting), Slots: pool.Slots}
	s.probes = append(s.probes, probeTargets(pool, targets)...)
	if !pool.UsesOwners() {
		return
	}
	s.handoffs[pool.Name] = handoff.PoolSpec{Targets: accepting, Slots: pool.Slots}
	for g, groupTargets := range owner.GroupByDomain(pool.Name, targets) {
		s.addGroup(g, pool, groupTargets, drain, states(g.String()))
	}
}

func (s *specs) addGroup(g owner.Group, pool table.Pool, groupTargets []table.Target, drain []netip.AddrPort, states map[netip.AddrPort]balance.TargetState) {
	name := g.String()
	s.balancing[name] = balance.PoolSpec{
		Targets: groupTargets, Drain: drain, Slots: pool.Slots, Connections: pool.Connections,
		Policy: groupPolicy, Exclusive: true, Warmup: warmupSpec(pool),
	}
	accepting := notDraining(groupTargets, drain, states)
	notEjected := lo.CountBy(accepting, func(t table.Target) bool {
		return states[t.Addr].State != balance.StateEjected && states[t.Addr].State != balance.StateTrial
	})
	// The balancer uses at least half of the targets whatever their state.
	notEjected = max(notEjected, (len(accepting)+1)/2)
	s.groupCapacity[name] = limit.Capacity{Targets: notEjected, Slots: pool.Slots}
	s.groupSlots[name] = notEjected*max(1, pool.Slots) - idleColdSlots(accepting, max(1, pool.Slots), states)
}

// idleColdSlots returns the number of slots that the warm-up rates of cold targets keep
// idle, so that the owner reports the load that the group can take. Ejected targets
// are not counted in the first place, except when they are used anyway.
func idleColdSlots(targets []table.Target, slots int, states map[netip.AddrPort]balance.TargetState) int {
	idle := lo.SumBy(targets, func(t table.Target) float64 {
		if s := states[t.Addr]; s.State != balance.StateEjected && s.State != balance.StateTrial {
			return float64(slots) - s.ColdSlots(slots)
		}
		return 0
	})
	return int(idle)
}

// notDraining returns the targets that may get new requests.
func notDraining(targets []table.Target, drain []netip.AddrPort, states map[netip.AddrPort]balance.TargetState) []table.Target {
	return lo.Filter(targets, func(t table.Target, _ int) bool {
		return states[t.Addr].State != balance.StateDraining && !lo.Contains(drain, t.Addr)
	})
}

// groupPolicy is the balancing policy among the targets of an owned group.
const groupPolicy = balance.Completion

// probeTargets describes the targets of a pool to the prober.
func probeTargets(pool table.Pool, targets []table.Target) []probe.Target {
	budget, ownerBudget := pool.ProbeBudget, 0.0
	if pool.WarmupPerSecond > 0 {
		// The owner has to learn of a cold target within fractions of a second,
		// whatever the number of hosts.
		budget, ownerBudget = budget/2, budget/2
	}
	return lo.Map(targets, func(t table.Target, _ int) probe.Target {
		return probe.Target{
			Pool: pool.Name, Addr: t.Addr, Budget: budget, OwnerBudget: ownerBudget, FailureDomain: t.FailureDomain,
			LoadPath: pool.LoadPath, HealthPath: pool.HealthPath,
		}
	})
}
