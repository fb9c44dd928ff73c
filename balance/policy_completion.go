package balance

import (
	"math/rand/v2"
	"time"
)

// Completion selects the target with the shortest expected completion time; ties
// are broken at random.
const Completion = "completion"

// SubsetCompletion is Completion restricted to this host's subset of the targets.
const SubsetCompletion = "subset_completion"

type completion struct{}

func (completion) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	return minBy(cs, rng, func(c *Candidate) float64 { return float64(c.Completion) })
}
