package balance

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// Candidate is what a policy sees of a target that may take new work.
type Candidate struct {
	Addr netip.AddrPort
	// Position is the place of the target in its pool's address order.
	Position int
	// Own is the number of this host's requests in flight at the target.
	Own int
	// Estimate is the expected number of all hosts' requests at the target.
	Estimate float64
	// Completion is the expected time until an answer: queue, service and the
	// way to the target's failure domain.
	Completion time.Duration
}

// Answer is what an answer or a probe showed of a target.
type Answer struct {
	Addr netip.AddrPort
	At   time.Time
	// InFlight is the number at the target that it reported.
	InFlight int
	// Latency is the smoothed latency of the target.
	Latency time.Duration
}

// Policy chooses among the candidates of one pool. A Policy belongs to one
// shard and is called under its lock.
type Policy interface {
	// Choose returns the index of the chosen candidate; cs is never empty and
	// is sorted by Position.
	Choose(now time.Time, cs []Candidate, rng *rand.Rand) int
}

// Observer is a Policy that learns from answers and probes.
type Observer interface {
	Observe(a Answer)
}

// DefaultPolicy is used by pools that name no policy.
const DefaultPolicy = Completion

// design is one policy: how it chooses, and whether it does so among this
// host's subset of the targets.
type design struct {
	build  func() Policy
	subset bool
}

// designs lists the policies by the name that a pool's row gives.
var designs = map[string]design{
	Random:           {build: func() Policy { return randomChoice{} }},
	RoundRobin:       {build: func() Policy { return &roundRobin{last: -1} }},
	LeastOutstanding: {build: func() Policy { return leastOutstanding{} }},
	P2C:              {build: func() Policy { return p2c{} }},
	P2CShared:        {build: func() Policy { return p2cShared{} }},
	HotCold:          {build: func() Policy { return newHotCold() }},
	Completion:       {build: func() Policy { return completion{} }},
	SubsetCompletion: {build: func() Policy { return completion{} }, subset: true},
}

// PolicyNames returns the names of all policies, sorted.
func PolicyNames() []string {
	names := lo.Keys(designs)
	sort.Strings(names)
	return names
}

// findDesign returns the design of a policy; name "" selects the default.
func findDesign(name string) (design, error) {
	if name == "" {
		name = DefaultPolicy
	}
	d, ok := designs[name]
	if !ok {
		return design{}, errors.Errorf("policy %q: expected one of %v", name, PolicyNames())
	}
	return d, nil
}
