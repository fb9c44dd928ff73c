package limit

import (
	"math"

	"github.com/chestnutfield/chestnutfield/lb"
)

const (
	// gradientTolerance is the latency inflation up to which the limit is not
	// reduced.
	gradientTolerance = 1.5
	// gradientSmoothing is the part of the way to the new value that the limit
	// moves with each request.
	gradientSmoothing = 0.2
	// gradientFloor is the smallest ratio, also used for shed and timed-out
	// requests.
	gradientFloor = 0.5
)

// Gradient is a Limiter that multiplies the limit by the ratio of tolerated to
// measured latency inflation, at most 1, and adds the square root of the limit as
// room for a queue.
// It moves towards that value in smoothed steps.
type Gradient struct {
	limit, lowest, highest float64
}

var _ Limiter = (*Gradient)(nil)

// NewGradient returns a limiter that starts at limit.
func NewGradient(limit float64) *Gradient {
	return &Gradient{limit: limit, lowest: limit, highest: limit}
}

// Limit returns the current limit in concurrent requests.
func (g *Gradient) Limit() float64 { return g.limit }

// SetBounds sets the lowest and highest limit and clamps the current one.
func (g *Gradient) SetBounds(lowest, highest float64) {
	g.lowest, g.highest = lowest, max(lowest, highest)
	g.limit = min(max(g.limit, g.lowest), g.highest)
}

// Observe adapts the limit. Failed requests are ignored: they say nothing about
// congestion.
func (g *Gradient) Observe(s Sample) {
	target := g.limit
	switch s.Verdict {
	case lb.Shed, lb.TimedOut:
		target *= gradientFloor
	case lb.Succeeded:
		if s.Inflation <= 0 || float64(s.InFlight)*2 < g.limit {
			return
		}
		ratio := min(max(gradientTolerance/s.Inflation, gradientFloor), 1)
		target = g.limit*ratio + math.Sqrt(g.limit)
	default:
		return
	}
	next := g.limit + gradientSmoothing*(target-g.limit)
	g.limit = min(max(next, g.lowest), g.highest)
}
