package balance

import (
	"math/rand/v2"
	"time"
)

// P2C draws two targets and takes the one with fewer requests of this host;
// a baseline.
const P2C = "p2c"

type p2c struct{}

func (p2c) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	i, j := drawTwo(len(cs), rng)
	if cs[j].Own < cs[i].Own {
		return j
	}
	return i
}

// drawTwo returns two indexes below n, distinct unless n is 1.
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
