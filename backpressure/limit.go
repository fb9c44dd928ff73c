package backpressure

// Reason is why a target has a rate limit.
type Reason uint8

// The reasons of a rate limit; the zero value stands for no limit.
const (
	// Named means that the target names the limit in its responses.
	Named Reason = iota + 1
	// Warmup means that the target is cold and takes the warm-up rate of its pool.
	Warmup
)

// String returns the reason as logs and metrics spell it, "" for no limit.
func (r Reason) String() string {
	switch r {
	case Named:
		return "named"
	case Warmup:
		return "warm-up"
	default:
		return ""
	}
}

// Limit is a rate limit of a target in requests a second from all hosts together.
// The zero value limits nothing.
type Limit struct {
	PerSecond float64
	Reason    Reason
}

// InForce reports whether there is a limit.
func (l Limit) InForce() bool { return l.Reason != 0 }

// Lower returns the limit that is in force when both apply.
func Lower(a, b Limit) Limit {
	if !a.InForce() || b.InForce() && b.PerSecond < a.PerSecond {
		return b
	}
	return a
}

// NamedLimit returns the limit that an observation shows.
func (o Observation) NamedLimit() Limit {
	if !o.Limited {
		return Limit{}
	}
	return Limit{PerSecond: o.PerSecond, Reason: Named}
}
