package limit

import (
	"time"

	"github.com/chestnutfield/chestnutfield/ports"
)

// Signal is the end of one request as a Limiter sees it.
type Signal struct {
	Now     time.Time
	Verdict ports.Verdict
	// InFlight is the number in flight before the request ended.
	InFlight int
	// Inflation is smoothed latency over uncongested latency, 0 when unknown.
	Inflation float64
	// Latency is the smoothed latency.
	Latency time.Duration
}

// Limiter adapts a concurrency limit. The limit may be below 1; it then
// bounds the share of time in which one request is in flight.
type Limiter interface {
	Limit() float64
	// Bound sets the lowest and highest limit.
	Bound(lowest, highest float64)
	Observe(s Signal)
}
