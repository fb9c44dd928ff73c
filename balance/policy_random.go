package balance

import (
	"math/rand/v2"
	"time"
)

// Random chooses uniformly; a baseline.
const Random = "random"

type randomChoice struct{}

func (randomChoice) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	return rng.IntN(len(cs))
}
