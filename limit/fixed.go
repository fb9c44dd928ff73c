package limit

// Fixed is a Limiter that never adapts. It serves pools whose requests all
// pass this host, so that the number in flight is known exactly.
type Fixed struct{ limit float64 }

// NewFixed returns a limiter that holds the slots of its pool.
func NewFixed() *Fixed { return &Fixed{} }

// Limit returns the slots of the pool.
func (f *Fixed) Limit() float64 { return f.limit }

// Bound sets the limit to the slots of the pool that the highest limit was
// derived from.
func (f *Fixed) Bound(_, highest float64) { f.limit = highest / highestPools }

// Observe does nothing.
func (f *Fixed) Observe(Signal) {}
