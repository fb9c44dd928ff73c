package backpressure

import "time"

// Signal is what the header of one response says about the requests that its
// target takes.
type Signal struct {
	Observation
	// RetryAfter is how long the target wants no request from the host that sent
	// this one; 0 when it did not say.
	RetryAfter time.Duration
	// Warmup is the rest of the target's warm-up; 0 when the response says nothing of
	// it.
	Warmup time.Duration
}

// Observation is what one response of a target shows that binds all hosts. Times
// are on the clock of the host that holds it.
type Observation struct {
	// Leaving is true when the target said that it leaves: its process takes no new
	// requests any more.
	Leaving bool
	// Limited is true when the response named a limit: PerSecond requests a
	// second from all hosts together.
	Limited   bool
	PerSecond float64
	// SentAt is when the request was sent, zero for a response that does not show
	// whether the target has a limit; HeardAt is when its header arrived.
	SentAt, HeardAt time.Time
}

// Merge returns the observation that holds when a and b are known, in any order
// of arrival. The latest limit holds until a request that was sent after it was
// heard gets a response without one: earlier responses may have been written
// before the target named its limit.
//
// A target that has said that it leaves stays so, whatever comes later.
func Merge(a, b Observation) Observation {
	merged := mergeLimits(a, b)
	merged.Leaving = a.Leaving || b.Leaving
	return merged
}

func mergeLimits(a, b Observation) Observation {
	switch {
	case a.Limited && b.Limited:
		if b.HeardAt.After(a.HeardAt) {
			return b
		}
		return a
	case !a.Limited && !b.Limited:
		if b.SentAt.After(a.SentAt) {
			return b
		}
		return a
	case b.Limited:
		a, b = b, a
	}
	if b.SentAt.After(a.HeardAt) {
		return b
	}
	return a
}

// Same reports whether two observations say the same of the target, whatever
// their times.
func (o Observation) Same(other Observation) bool {
	return o.Limited == other.Limited && o.PerSecond == other.PerSecond && o.Leaving == other.Leaving
}
