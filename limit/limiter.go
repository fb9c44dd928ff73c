package limit

import (
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

// Sample describes one ended request to a Limiter.
type Sample struct {
	Now     time.Time
	Verdict lb.Verdict
	// InFlight is the number of requests in flight before the request ended.
	InFlight int
	// Inflation is smoothed latency divided by uncongested latency, 0 when
	// unknown.
	Inflation float64
	// Latency is the smoothed latency.
	Latency time.Duration
}

// Limiter adapts a concurrency limit. A limit below 1 is the share of time in
// which one request may be in flight.
type Limiter interface {
	// Limit returns the current limit in concurrent requests.
	Limit() float64
	// SetBounds sets the lowest and highest limit.
	SetBounds(lowest, highest float64)
	// Observe adapts the limit to an ended request.
	Observe(s Sample)
}
