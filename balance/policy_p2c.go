package balance

import (
	"math/rand/v2"
	"time"
)

// P2C is power of two choices: it draws two targets at random and selects the one
// with fewer requests of this host in flight. It serves as a baseline for
// comparisons.
const P2C = "p2c"

type p2c struct{}

func (p2c) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	i, j := drawTwo(len(cs), rng)
	if cs[j].Own < cs[i].Own {
		return j
	}
	return i
}

// drawTwo returns two random indexes below n, distinct unless n is 1.
func drawTwo(n int, rng *rand.Rand) (i, j int) {
	if n == 1 {
		return 0, 0
	}
	i = rng.IntN(n)
	j = rng.IntN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}
