package balance

import (
	"math/rand/v2"
	"time"
)

// Random selects a target uniformly at random. It serves as a baseline for
// comparisons.
const Random = "random"

type randomChoice struct{}

func (randomChoice) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	return rng.IntN(len(cs))
}
