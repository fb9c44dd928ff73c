package load

const (
	// trustWeight is the weight of one call in the mean ratio.
	trustWeight = 0.1
	// ratioCap bounds one ratio of seen to predicted latency.
	ratioCap = 10
	// A mean ratio up to ratioGood keeps full trust, from ratioBad on none.
	ratioGood, ratioBad = 2.0, 4.0
	// ratioLow is the mean ratio below which trust falls in proportion.
	ratioLow = 0.4
	// contradictedFactor multiplies the accuracy of counts at a report that calls
	// contradict; agreedGain is added to it at one that they agree with.
	contradictedFactor, agreedGain = 0.7, 0.02
	// frozenRun is the number of equal counts in a row that a busy target does
	// not give.
	frozenRun = 4
	// busyMean is the pool's mean number of others from which a run of zeros
	// counts too.
	busyMean = 0.5
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

func fullTrust() trust { return trust{ratio: 1, accuracy: 1} }

// checkCount compares a reported number with this host's requests that have
// arrived: one of them may have just ended, more missing is a contradiction.
func (t *trust) checkCount(reported, arrived int) {
	if reported+1 < arrived {
		t.lower()
		return
	}
	t.accuracy = min(t.accuracy+agreedGain, 1)
}

// checkRun counts equal numbers in a row. A run of zeros is sound in a pool
// that is idle.
func (t *trust) checkRun(reported int, poolMean float64) {
	if reported != t.count || (reported == 0 && poolMean < busyMean) {
		t.count, t.run = reported, 0
	}
	t.run++
}

func (t *trust) frozen() bool { return t.run >= frozenRun }

func (t *trust) lower() { t.accuracy *= contradictedFactor }

// checkLatency takes one ratio of seen to predicted latency.
func (t *trust) checkLatency(ratio float64) {
	t.ratio += trustWeight * (min(ratio, ratioCap) - t.ratio)
}

func (t *trust) value() float64 {
	fit := 1.0
	switch {
	case t.frozen():
		return 0
	case t.ratio > ratioGood:
		fit = max((ratioBad-t.ratio)/(ratioBad-ratioGood), 0)
	case t.ratio < ratioLow:
		fit = t.ratio / ratioLow
	}
	return fit * t.accuracy
}
