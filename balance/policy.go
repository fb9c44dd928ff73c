package balance

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// Candidate is what a policy knows of a target that may receive the request.
type Candidate struct {
	Addr netip.AddrPort
	// Position is the index of the target among its pool's targets sorted by
	// address.
	Position int
	// Own is the number of requests that this host has in flight at the target.
	Own int
	// Estimate is the estimated number of requests of all hosts at the target.
	Estimate float64
	// Completion is the expected time until the response: queueing, service and
	// the network delay to the target's failure domain.
	Completion time.Duration
}

// Observation is what a response or a probe showed of a target's load.
type Observation struct {
	Addr netip.AddrPort
	At   time.Time
	// InFlight is the number of requests that the target reported.
	InFlight int
	// Latency is the moving average of the target's latency.
	Latency time.Duration
}

// Policy selects among the candidates of a request. Each pool has its own Policy
// and calls it with the pool's lock held.
type Policy interface {
	// Choose returns the index of the selected candidate. cs is not empty and is
	// sorted by Position.
	Choose(now time.Time, cs []Candidate, rng *rand.Rand) int
}

// Observer is implemented by a Policy that uses the load reports of responses and
// probes.
type Observer interface {
	Observe(o Observation)
}

// DefaultPolicy is the policy of pools that name none.
const DefaultPolicy = Completion

// policyFactory creates the instances of a policy. useSubset is true when the
// policy selects among this host's subset of the targets.
type policyFactory struct {
	newPolicy func() Policy
	useSubset bool
}

// policies maps policy names, as used in the configuration of a pool, to their
// factories.
var policies = map[string]policyFactory{
	Random:           {newPolicy: func() Policy { return randomChoice{} }},
	RoundRobin:       {newPolicy: func() Policy { return &roundRobin{last: -1} }},
	LeastOutstanding: {newPolicy: func() Policy { return leastOutstanding{} }},
	P2C:              {newPolicy: func() Policy { return p2c{} }},
	P2CShared:        {newPolicy: func() Policy { return p2cShared{} }},
	HotCold:          {newPolicy: func() Policy { return newHotCold() }},
	Completion:       {newPolicy: func() Policy { return completion{} }},
	SubsetCompletion: {newPolicy: func() Policy { return completion{} }, useSubset: true},
}

// PolicyNames returns the sorted names of all policies.
func PolicyNames() []string {
	names := lo.Keys(policies)
	sort.Strings(names)
	return names
}

// lookupPolicy returns the factory of a policy; "" selects DefaultPolicy.
func lookupPolicy(name string) (policyFactory, error) {
	if name == "" {
		name = DefaultPolicy
	}
	f, ok := policies[name]
	if !ok {
		return policyFactory{}, errors.Errorf("policy %q: expected one of %v", name, PolicyNames())
	}
	return f, nil
}
