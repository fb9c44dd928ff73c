package limit

// Fixed is a Limiter that never adapts. It is for pools whose requests all pass
// through this host, which therefore knows the number in flight exactly.
//
// It admits 1.5 times as many requests as the pool has slots. At a target with
// two slots a third request then waits, which the target starts as soon as a
// slot is free; without it the slot would be idle for a network round trip.
type Fixed struct{ limit float64 }

// NewFixed returns a limiter whose limit is the upper bound of its pool.
func NewFixed() *Fixed { return &Fixed{} }

// Limit returns the highest number of requests in flight.
func (f *Fixed) Limit() float64 { return f.limit }

// SetBounds sets the limit to the highest.
func (f *Fixed) SetBounds(_, highest float64) { f.limit = highest }

// Observe does nothing.
func (f *Fixed) Observe(Sample) {}
