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
}

// Policy chooses among the candidates of one pool. A Policy belongs to one
// shard and is called under its lock.
type Policy interface {
	// Choose returns the index of the chosen candidate; cs is never empty and
	// is sorted by Position.
	Choose(now time.Time, cs []Candidate, rng *rand.Rand) int
}

// DefaultPolicy is used by pools that name no policy.
const DefaultPolicy = P2C

// constructors lists the policies by the name that a pool's row gives.
var constructors = map[string]func() Policy{
	Random:           func() Policy { return randomChoice{} },
	RoundRobin:       func() Policy { return &roundRobin{last: -1} },
	LeastOutstanding: func() Policy { return leastOutstanding{} },
	P2C:              func() Policy { return p2c{} },
}

// PolicyNames returns the names of all policies, sorted.
func PolicyNames() []string {
	names := lo.Keys(constructors)
	sort.Strings(names)
	return names
}

// newPolicy returns a new policy; name "" selects the default.
func newPolicy(name string) (Policy, error) {
	if name == "" {
		name = DefaultPolicy
	}
	build, ok := constructors[name]
	if !ok {
		return nil, errors.Errorf("policy %q: expected one of %v", name, PolicyNames())
	}
	return build(), nil
}
