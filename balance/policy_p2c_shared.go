package balance

import (
	"math/rand/v2"
	"time"
)

// P2CShared is power of two choices by the load of all hosts: it draws two targets
// at random and selects the one with the lower estimated number of requests.
const P2CShared = "p2c_shared"

type p2cShared struct{}

func (p2cShared) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	i, j := drawTwo(len(cs), rng)
	if cs[j].Estimate < cs[i].Estimate {
		return j
	}
	return i
}
