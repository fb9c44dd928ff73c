package limit

// Fixed is a Limiter that never adapts. It serves pools whose requests all
// pass this host, so that the number in flight is known exactly.
//
// It admits half as many requests again as the pool has slots. One more than
// its slots waits at a target of two, which takes it up at once when a slot is
// free; without it the slot would stand idle for the way here and back.
type Fixed struct{ limit float64 }

// NewFixed returns a limiter that holds the slots of its pool.
func NewFixed() *Fixed { return &Fixed{} }

// Limit returns the highest number in flight.
func (f *Fixed) Limit() float64 { return f.limit }

// Bound sets the limit to the highest.
func (f *Fixed) Bound(_, highest float64) { f.limit = highest }

// Observe does nothing.
func (f *Fixed) Observe(Signal) {}
