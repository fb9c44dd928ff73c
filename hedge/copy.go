package hedge

const (
	// maxUtilization is the part of the slots in use from which no copy is sent: a copy
	// then takes the idle target that the next request would get.
	maxUtilization = 0.6
	// minRest is the least part of the usual work that is expected to remain of a
	// request that has not ended: how much work it needs is not known.
	minRest = 0.3
	// minGain is how many times longer than its copy the first attempt must be expected to
	// take from now on: both expectations are rough, and a copy costs work.
	minGain = 1.3
)

// Refusal is why a copy is not sent, "" for one that is.
type Refusal string

// The refusals of Copy.Refusal.
const (
	PoolBusy Refusal = "pool-busy"
	// LongRequest is the refusal of a copy of a request that has already had the usual
	// work: it needs more than others do, and a copy would need the same.
	LongRequest Refusal = "long-request"
	// FirstSooner is the refusal of a copy that would not end clearly before the first
	// attempt.
	FirstSooner Refusal = "first-sooner"
)

// Copy is what is known when the copy of a request could be sent.
type Copy struct {
	// Factor is the expected time of the copy in multiples of the usual time of a request
	// at an idle target.
	Factor float64
	// Utilization is the part of the slots of the targets that is in use, 0 to 1.
	Utilization float64
	// First is the first attempt, nil when nothing is known of it.
	First *First
}

// First is what is known of a first attempt in flight.
type First struct {
	// Progress is the work that its target has done for it, in multiples of the usual
	// work; time in which the target was slow counts for less.
	Progress float64
	// Factor is the expected time of a whole request at its target now, in multiples of
	// the usual time.
	Factor float64
}

// Refusal returns why the copy is not worth sending.
func (c Copy) Refusal() Refusal {
	switch {
	case c.Utilization >= maxUtilization:
		return PoolBusy
	case c.First == nil:
		return ""
	case c.First.Progress >= 1:
		return LongRequest
	case c.Factor*minGain >= max(1-c.First.Progress, minRest)*c.First.Factor:
		return FirstSooner
	}
	return ""
}
