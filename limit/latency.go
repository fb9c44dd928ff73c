package limit

import "time"

const (
	// initialLatency is assumed before a class has been measured.
	initialLatency = 20 * time.Millisecond
	// shortWeight is the weight of a sample in the smoothed latency.
	shortWeight = 0.1
	// mixWeight is the weight of a sample in the latency of mixed classes.
	mixWeight = 0.05
	// baseFall and baseRise are the weights by which the uncongested latency
	// follows the smoothed one downward and upward.
	baseFall = 0.02
	baseRise = 0.001
	// clip times the smoothed latency is the most that one call counts, so that
	// one slow target doesn't speak for its pool.
	clip = 4
	// minSamples is the number of samples before inflation is told.
	minSamples = 40
)

// latency is what one class of a pool has shown.
type latency struct {
	short, base time.Duration
	samples     int
}

func (l *latency) observe(d time.Duration) {
	l.samples++
	if l.samples == 1 {
		l.short, l.base = d, d
		return
	}
	if l.samples > minSamples {
		d = min(d, clip*l.short)
	}
	l.short = follow(l.short, d, max(shortWeight, 1/float64(l.samples)))
	weight := baseRise
	switch {
	case l.samples <= minSamples:
		weight = 1
	case l.short < l.base:
		weight = baseFall
	}
	l.base = follow(l.base, l.short, weight)
}

func follow(from, to time.Duration, weight float64) time.Duration {
	return from + time.Duration(weight*float64(to-from))
}

// smoothed returns the expected latency.
func (l *latency) smoothed() time.Duration {
	if l.samples == 0 {
		return initialLatency
	}
	return l.short
}

// inflation returns smoothed over uncongested latency, 0 when unknown.
func (l *latency) inflation() float64 {
	if l.samples < minSamples || l.base <= 0 {
		return 0
	}
	return float64(l.short) / float64(l.base)
}
