package balance

import (
	"math/rand/v2"
	"time"
)

// LeastOutstanding selects the target with the fewest requests of this host in
// flight; ties are broken at random. It serves as a baseline for comparisons.
const LeastOutstanding = "least_outstanding"

type leastOutstanding struct{}

func (leastOutstanding) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	return minBy(cs, rng, func(c *Candidate) float64 { return float64(c.Own) })
}

// minBy returns the index of the candidate with the lowest cost; ties are
// broken at random.
func minBy(cs []Candidate, rng *rand.Rand, cost func(*Candidate) float64) int {
	best, lowest, ties := 0, cost(&cs[0]), 1
	for i := 1; i < len(cs); i++ {
		c := cost(&cs[i])
		switch {
		case c < lowest:
			best, lowest, ties = i, c, 1
		case c == lowest:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
