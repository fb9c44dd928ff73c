package balance

import (
	"math/rand/v2"
	"time"
)

// RoundRobin takes the targets in turn, from a random start; a baseline.
const RoundRobin = "round_robin"

type roundRobin struct {
	// last is the position chosen before, -1 at the start.
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
