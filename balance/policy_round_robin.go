package balance

import (
	"math/rand/v2"
	"time"
)

// RoundRobin selects the targets in turn, starting with a random one. It serves
// as a baseline for comparisons.
const RoundRobin = "round_robin"

type roundRobin struct {
	// last is the position of the previous selection, -1 before the first.
	last int
}

func (p *roundRobin) Choose(_ time.Time, cs []Candidate, rng *rand.Rand) int {
	chosen := 0
	if p.last < 0 {
		chosen = rng.IntN(len(cs))
	} else {
		for i := range cs {
			if cs[i].Position > p.last {
				chosen = i
				break
			}
		}
	}
	p.last = cs[chosen].Position
	return chosen
}
