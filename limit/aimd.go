package limit

import (
	"time"

	"github.com/chestnutfield/chestnutfield/ports"
)

const (
	// cutOnRefusal is the factor of a shed or timed-out request.
	cutOnRefusal = 0.9
	// deepestCut and deepestBatchCut are the lowest factors of the limit and
	// of that of batch when latency is inflated.
	deepestCut      = 0.95
	deepestBatchCut = 0.7
)

// AIMD raises the limit by one for every full round of requests and cuts it
// by a factor, at most once per latency, when an end speaks of congestion: the
// further latency is above the tolerance, the deeper.
type AIMD struct {
	limit, lowest, highest float64
	// tolerance is the inflation of latency above which the limit is cut.
	tolerance float64
	// deepest is the lowest factor of one cut for inflation.
	deepest float64
	lastCut time.Time
}

var _ Limiter = (*AIMD)(nil)

// NewAIMD returns a limiter that starts at limit.
func NewAIMD(limit, tolerance float64) *AIMD {
	return &AIMD{limit: limit, lowest: limit, highest: limit, tolerance: tolerance, deepest: deepestCut}
}

// NewBatchAIMD returns a limiter that gives way faster.
func NewBatchAIMD(limit, tolerance float64) *AIMD {
	a := NewAIMD(limit, tolerance)
	a.deepest = deepestBatchCut
	return a
}

// Limit returns the limit.
func (a *AIMD) Limit() float64 { return a.limit }

// Bound sets the lowest and highest limit.
func (a *AIMD) Bound(lowest, highest float64) {
	a.lowest, a.highest = lowest, max(lowest, highest)
	a.limit = min(max(a.limit, a.lowest), a.highest)
}

// Observe adapts the limit. Failures say nothing about congestion.
func (a *AIMD) Observe(s Signal) {
	switch s.Verdict {
	case ports.Shed, ports.TimedOut:
		a.cut(s, cutOnRefusal)
	case ports.Succeeded:
		if s.Inflation > a.tolerance {
			a.cut(s, max(a.tolerance/s.Inflation, a.deepest))
			return
		}
		if float64(s.InFlight)*2 >= a.limit {
			a.limit = min(a.limit+1/max(a.limit, 1), a.highest)
		}
	}
}

func (a *AIMD) cut(s Signal, factor float64) {
	if s.Now.Sub(a.lastCut) < s.Latency {
		return
	}
	a.lastCut = s.Now
	a.limit = max(a.limit*factor, a.lowest)
}
