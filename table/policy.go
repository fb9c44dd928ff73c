package table

import "slices"

// PolicyOwned is the default policy: the targets of a pool in one failure domain
// form a group, and requests are handed to the hosts that own the groups. With
// every other policy each host sends requests to the targets directly.
const PolicyOwned = "owned"

// Policies are the valid values of a pool's policy key.
var Policies = []string{
	PolicyOwned, "completion", "hot_cold", "least_outstanding", "p2c", "p2c_shared",
	"random", "round_robin", "subset_completion",
}

// UsesOwners reports whether the pool uses PolicyOwned.
func (p Pool) UsesOwners() bool { return p.Policy == "" || p.Policy == PolicyOwned }

func validPolicy(name string) bool { return slices.Contains(Policies, name) }
