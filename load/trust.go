package load

const (
	// trustWeight is the weight of one request in the moving average of the
	// latency ratio.
	trustWeight = 0.1
	// maxRatio is the upper bound of one ratio of measured to predicted latency.
	maxRatio = 10
	// An average ratio up to fullTrustRatio leaves full trust, one of
	// zeroTrustRatio or more none.
	fullTrustRatio, zeroTrustRatio = 2.0, 4.0
	// lowRatio is the average ratio below which trust falls in proportion.
	lowRatio = 0.4
	// The accuracy is multiplied by accuracyPenalty on a report that contradicts
	// this host's requests, and grows by accuracyGain on one that agrees.
	accuracyPenalty, accuracyGain = 0.7, 0.02
	// frozenRunLength is the number of equal consecutive counts from which the
	// reports of a busy target count as frozen.
	frozenRunLength = 4
	// busyPoolMean is the pool's mean number of requests of other hosts from
	// which a run of zeros counts too.
	busyPoolMean = 0.5
)

// trust computes the weight of the reports of one target from how well they agree
// with the requests to it.
type trust struct {
	// ratio is the moving average of measured over predicted latency.
	ratio float64
	// accuracy, 0 to 1, falls with reports that can't be correct.
	accuracy float64
	// count is the last reported count, and run how often it was reported in a
	// row.
	count, run int
}

func newTrust() trust { return trust{ratio: 1, accuracy: 1} }

// checkCount compares a reported count with this host's requests that have reached
// the target. One of them may just have ended; if more are missing, the report is
// wrong.
func (t *trust) checkCount(reported, arrived int) {
	if reported+1 < arrived {
		t.penalize()
		return
	}
	t.accuracy = min(t.accuracy+accuracyGain, 1)
}

// checkRun counts equal consecutive counts. A run of zeros is normal in an idle
// pool.
func (t *trust) checkRun(reported int, poolMean float64) {
	if reported != t.count || (reported == 0 && poolMean < busyPoolMean) {
		t.count, t.run = reported, 0
	}
	t.run++
}

func (t *trust) frozen() bool { return t.run >= frozenRunLength }

func (t *trust) penalize() { t.accuracy *= accuracyPenalty }

// checkLatency records one ratio of measured to predicted latency.
func (t *trust) checkLatency(ratio float64) {
	t.ratio += trustWeight * (min(ratio, maxRatio) - t.ratio)
}

func (t *trust) value() float64 {
	fit := 1.0
	switch {
	case t.frozen():
		return 0
	case t.ratio > fullTrustRatio:
		fit = max((zeroTrustRatio-t.ratio)/(zeroTrustRatio-fullTrustRatio), 0)
	case t.ratio < lowRatio:
		fit = t.ratio / lowRatio
	}
	return fit * t.accuracy
}
