package limit

import "time"

const (
	// initialLatency is assumed before a class has been measured.
	initialLatency = 20 * time.Millisecond
	// smoothedWeight is the weight of one request in the smoothed latency of its
	// class.
	smoothedWeight = 0.1
	// meanLatencyWeight is the weight of one request in the mean latency over all
	// classes.
	meanLatencyWeight = 0.05
	// baselineFallWeight and baselineRiseWeight are the weights with which the
	// uncongested latency follows the smoothed latency down and up.
	baselineFallWeight = 0.02
	baselineRiseWeight = 0.001
	// outlierFactor caps the latency of one request at this multiple of the
	// smoothed latency, so that one slow target doesn't make its whole pool
	// look congested.
	outlierFactor = 4
	// minSamples is the number of requests needed before inflation is known.
	minSamples = 40
)

// latency estimates the smoothed latency of one class of a pool (ewma) and its
// uncongested latency (baseline).
type latency struct {
	ewma, baseline time.Duration
	samples        int
}

func (l *latency) observe(d time.Duration) {
	l.samples++
	if l.samples == 1 {
		l.ewma, l.baseline = d, d
		return
	}
	if l.samples > minSamples {
		d = min(d, outlierFactor*l.ewma)
	}
	l.ewma = smooth(l.ewma, d, max(smoothedWeight, 1/float64(l.samples)))
	weight := baselineRiseWeight
	switch {
	case l.samples <= minSamples:
		weight = 1
	case l.ewma < l.baseline:
		weight = baselineFallWeight
	}
	l.baseline = smooth(l.baseline, l.ewma, weight)
}

func smooth(from, to time.Duration, weight float64) time.Duration {
	return from + time.Duration(weight*float64(to-from))
}

// smoothed returns the expected latency of the next request.
func (l *latency) smoothed() time.Duration {
	if l.samples == 0 {
		return initialLatency
	}
	return l.ewma
}

// inflation returns smoothed latency divided by uncongested latency, 0 when
// unknown.
func (l *latency) inflation() float64 {
	if l.samples < minSamples || l.baseline <= 0 {
		return 0
	}
	return float64(l.ewma) / float64(l.baseline)
}
