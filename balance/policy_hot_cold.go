package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// HotCold keeps the most recent observations of the targets. A target is hot when
// its reported in-flight count is above a quantile of the recent counts. HotCold
// selects the cold target with the lowest latency or, when all are hot, the one
// with the fewest requests in flight. Each observation is used once.
const HotCold = "hot_cold"

const (
	// observationsKept is the maximum number of observations.
	observationsKept = 16
	// maxObservationAge is the age above which an observation is dropped.
	maxObservationAge = 250 * time.Millisecond
	// minObservations is the number of observations below which the policy
	// falls back to P2CShared.
	minObservations = 2
	// inFlightKept is the number of recent in-flight counts kept.
	inFlightKept = 64
	// hotQuantile is the quantile of the recent in-flight counts above which a
	// target is hot.
	hotQuantile = 0.75
)

type hotCold struct {
	observations []Observation
	inFlight     []int
	next         int
}

var _ Observer = (*hotCold)(nil)

func newHotCold() *hotCold { return &hotCold{inFlight: make([]int, 0, inFlightKept)} }

// Observe keeps the newest observation of each target.
func (p *hotCold) Observe(latest Observation) {
	if len(p.inFlight) < inFlightKept {
		p.inFlight = append(p.inFlight, latest.InFlight)
	} else {
		p.inFlight[p.next] = latest.InFlight
		p.next = (p.next + 1) % inFlightKept
	}
	p.observations = slices.DeleteFunc(p.observations, func(o Observation) bool { return o.Addr == latest.Addr })
	if len(p.observations) == observationsKept {
		p.observations = slices.Delete(p.observations, 0, 1)
	}
	p.observations = append(p.observations, latest)
}

func (p *hotCold) Choose(now time.Time, cs []Candidate, rng *rand.Rand) int {
	p.observations = slices.DeleteFunc(p.observations, func(o Observation) bool { return now.Sub(o.At) > maxObservationAge })
	if len(p.observations) < minObservations {
		return p2cShared{}.Choose(now, cs, rng)
	}
	used, chosen := p.best(cs)
	if used < 0 {
		return p2cShared{}.Choose(now, cs, rng)
	}
	p.observations = slices.Delete(p.observations, used, used+1)
	return chosen
}

// best returns the index of the best observation and that of its candidate. used
// is -1 when no observation belongs to a candidate.
func (p *hotCold) best(cs []Candidate) (used, chosen int) {
	threshold := p.hotThreshold()
	used = -1
	for i, o := range p.observations {
		c := slices.IndexFunc(cs, func(c Candidate) bool { return c.Addr == o.Addr })
		if c >= 0 && (used < 0 || betterObservation(o, p.observations[used], threshold)) {
			used, chosen = i, c
		}
	}
	return used, chosen
}

func betterObservation(a, b Observation, hotThreshold int) bool {
	aHot, bHot := a.InFlight > hotThreshold, b.InFlight > hotThreshold
	switch {
	case aHot != bHot:
		return bHot
	case aHot:
		return a.InFlight < b.InFlight
	default:
		return a.Latency < b.Latency
	}
}

func (p *hotCold) hotThreshold() int {
	sorted := slices.Sorted(slices.Values(p.inFlight))
	return sorted[int(hotQuantile*float64(len(sorted)-1))]
}
