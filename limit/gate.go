package limit

import (
	"math"
	"time"
)

// gate keeps the number of requests in flight within a limit that may be below
// 1.
type gate struct {
	inFlight int
	// nextStart is the time before which no request may start under a limit
	// below 1.
	nextStart time.Time
}

// allows reports whether another request may start under limit.
func (g *gate) allows(now time.Time, limit float64) bool {
	if limit < 1 {
		return g.inFlight == 0 && !now.Before(g.nextStart)
	}
	return g.inFlight < int(math.Round(limit))
}

func (g *gate) enter() { g.inFlight++ }

// leave ends a request that took d. Under a limit below 1 it sets the pause
// until the next start, so that a request is in flight for that share of time.
func (g *gate) leave(now time.Time, limit float64, d time.Duration) {
	g.inFlight--
	if limit < 1 {
		g.nextStart = now.Add(time.Duration(float64(d) * (1/limit - 1)))
	}
}
