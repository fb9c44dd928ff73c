package limit

import (
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

const (
	// overloadFactor multiplies the limit after a shed or timed-out request.
	overloadFactor = 0.9
	// minInflationFactor and minBatchInflationFactor are the smallest factors
	// of one decrease for inflated latency: for the pool's limit and for the
	// batch limit.
	minInflationFactor      = 0.95
	minBatchInflationFactor = 0.7
)

// AIMD is an additive-increase, multiplicative-decrease Limiter. It raises the
// limit by one for every limit's worth of successful requests, as long as at
// least half of the limit is in use. On a sign of congestion it multiplies the
// limit by a factor, at most once per smoothed latency; the further latency is
// above the tolerance, the smaller the factor.
type AIMD struct {
	limit, lowest, highest float64
	// tolerance is the latency inflation above which the limit decreases.
	tolerance float64
	// minFactor is the smallest factor of one decrease for inflated latency.
	minFactor    float64
	lastDecrease time.Time
}

var _ Limiter = (*AIMD)(nil)

// NewAIMD returns a limiter that starts at limit.
func NewAIMD(limit, tolerance float64) *AIMD {
	return &AIMD{limit: limit, lowest: limit, highest: limit, tolerance: tolerance, minFactor: minInflationFactor}
}

// NewBatchAIMD returns an AIMD for the batch class, which decreases faster
// when latency is inflated.
func NewBatchAIMD(limit, tolerance float64) *AIMD {
	a := NewAIMD(limit, tolerance)
	a.minFactor = minBatchInflationFactor
	return a
}

// Limit returns the current limit in concurrent requests.
func (a *AIMD) Limit() float64 { return a.limit }

// SetBounds sets the lowest and highest limit and clamps the current one.
func (a *AIMD) SetBounds(lowest, highest float64) {
	a.lowest, a.highest = lowest, max(lowest, highest)
	a.limit = min(max(a.limit, a.lowest), a.highest)
}

// Observe adapts the limit. Failed requests are ignored: they say nothing about
// congestion.
func (a *AIMD) Observe(s Sample) {
	switch s.Verdict {
	case lb.Shed, lb.TimedOut:
		a.decrease(s, overloadFactor)
	case lb.Succeeded:
		if s.Inflation > a.tolerance {
			a.decrease(s, max(a.tolerance/s.Inflation, a.minFactor))
			return
		}
		if float64(s.InFlight)*2 >= a.limit {
			a.limit = min(a.limit+1/max(a.limit, 1), a.highest)
		}
	}
}

func (a *AIMD) decrease(s Sample, factor float64) {
	if s.Now.Sub(a.lastDecrease) < s.Latency {
		return
	}
	a.lastDecrease = s.Now
	a.limit = max(a.limit*factor, a.lowest)
}
