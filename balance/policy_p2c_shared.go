package balance

import (
	"math/rand/v2"
	"time"
)

// P2CShared draws two targets and takes the one with the lower estimate of all
// hosts' requests.
const P2CShared = "p2c_shared"

type p2cShared struct{}

func (p2cShared) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	i, j := drawTwo(len(cs), rng)
	if cs[j].Estimate < cs[i].Estimate {
		return j
	}
	return i
}
