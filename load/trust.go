package load

const (
	// trustWeight is the weight of one call in the mean ratio.
	trustWeight = 0.1
	// maxRatio bounds one ratio of seen to predicted latency.
	maxRatio = 10
	// A mean ratio up to fullTrustRatio keeps full trust, from zeroTrustRatio on none.
	fullTrustRatio, zeroTrustRatio = 2.0, 4.0
	// lowRatio is the mean ratio below which trust falls in proportion.
	lowRatio = 0.4
	// accuracyPenalty multiplies the accuracy of counts at a report that calls
	// contradict; accuracyGain is added to it at one that they agree with.
	accuracyPenalty, accuracyGain = 0.7, 0.02
	// frozenRunLength is the number of equal counts in a row that a busy target does
	// not give.
	frozenRunLength = 4
	// busyPoolMean is the pool's mean number of others from which a run of zeros
	// counts too.
	busyPoolMean = 0.5
)

// trust is the weight of the reports of one target, by how well they agree with
// the calls to it.
type trust struct {
	// ratio is the mean of seen over predicted latency.
	ratio float64
	// accuracy, 0 to 1, falls with reports that can't be true.
	accuracy float64
	// count was reported run times in a row.
	count, run int
}

func newTrust() trust { return trust{ratio: 1, accuracy: 1} }

// checkCount compares a reported number with this host's requests that have
// arrived: one of them may have just ended, more missing is a contradiction.
func (t *trust) checkCount(reported, arrived int) {
	if reported+1 < arrived {
		t.penalize()
		return
	}
	t.accuracy = min(t.accuracy+accuracyGain, 1)
}

// checkRun counts equal numbers in a row. A run of zeros is sound in a pool
// that is idle.
func (t *trust) checkRun(reported int, poolMean float64) {
	if reported != t.count || (reported == 0 && poolMean < busyPoolMean) {
		t.count, t.run = reported, 0
	}
	t.run++
}

func (t *trust) frozen() bool { return t.run >= frozenRunLength }

func (t *trust) penalize() { t.accuracy *= accuracyPenalty }

// checkLatency takes one ratio of seen to predicted latency.
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
