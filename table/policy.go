package table

import "slices"

// PolicyOwned hands requests to the hosts that own the pool's groups. It is
// the default; every other policy dispatches directly.
const PolicyOwned = "owned"

// Policies are the names that the policy key of a pool takes.
var Policies = []string{
	PolicyOwned, "completion", "hot_cold", "least_outstanding", "p2c", "p2c_shared",
	"random", "round_robin", "subset_completion",
}

// Owned reports whether requests of the pool are handed to owners.
func (p Pool) Owned() bool { return p.Policy == "" || p.Policy == PolicyOwned }

func validPolicy(name string) bool { return slices.Contains(Policies, name) }
