package limit

import (
	"math"
	"time"
)

// gate holds a number in flight under a limit that may be below 1.
type gate struct {
	inFlight int
	// next is the time before which a limit below 1 lets nothing start.
	next time.Time
}

// open reports whether another request may start.
func (g *gate) open(now time.Time, limit float64) bool {
	if limit < 1 {
		return g.inFlight == 0 && !now.Before(g.next)
	}
	return g.inFlight < int(math.Round(limit))
}

func (g *gate) enter() { g.inFlight++ }

// leave ends a request that took d; under a limit below 1 it sets the pause.
func (g *gate) leave(now time.Time, limit float64, d time.Duration) {
	g.inFlight--
	if limit < 1 {
		g.next = now.Add(time.Duration(float64(d) * (1/limit - 1)))
	}
}
