package balance

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

const (
	// failureRateWeight is the weight of one request in the failure rate.
	failureRateWeight = 0.3
	// A target is ejected at a failure rate of at least ejectFailureRate that
	// also exceeds the pool's median by at least ejectFailureMargin.
	ejectFailureRate, ejectFailureMargin = 0.5, 0.4
	// A target is ejected when its latency exceeds both slowFactor times the
	// pool's median latency and slowFloor.
	slowFactor = 5
	slowFloor  = 20 * time.Millisecond
	// trialSlowFactor replaces slowFactor during a trial, where a single slow
	// request is enough.
	trialSlowFactor = 6
	// minSlowSamples is the number of latency samples required before a target
	// can count as slow.
	minSlowSamples = 10
	// A target is ejected when it has answered nothing since a request that is
	// older than both unresponsiveFactor times the pool's median latency and
	// unresponsiveFloor.
	unresponsiveFactor = 10
	unresponsiveFloor  = 250 * time.Millisecond
	// The first ejection lasts baseEjectionTime, or ejectionTimePerHost for each
	// host that shares the target when that is longer, so that all hosts
	// together retry the target seldom. maxEjectionTime is the longest time
	// before it is randomized.
	baseEjectionTime    = time.Second
	ejectionTimePerHost = 400 * time.Millisecond
	maxEjectionTime     = 30 * time.Second
	// shedsToMaxEjection is the number of consecutive shed requests from which a
	// target is assumed to shut down without announcing it; it is then ejected
	// for maxEjectionTime.
	shedsToMaxEjection = 3
	// trialSuccesses is the number of consecutive successful requests that end
	// a trial.
	trialSuccesses = 3
	// rampDuration is the time in which the share of a target grows from
	// rampStartWeight to its normal share, 1.
	rampDuration    = 5 * time.Second
	rampStartWeight = 0.1
)

// phase is the health state of a target as this host sees it.
type phase uint8

const (
	// ready: receives its normal share, or a growing share while it ramps up.
	ready phase = iota
	// ejected: receives no requests until ejectedUntil.
	ejected
	// trial: receives one request at a time until trialSuccesses succeed.
	trial
)

// health decides whether a target receives requests. It does no I/O and reads no
// clock.
type health struct {
	phase         phase
	ejectedUntil  time.Time
	rampStartedAt time.Time
	failureRate   float64
	successes     int
	// consecutiveSheds counts the requests shed one after another.
	consecutiveSheds int
	// ejections counts the ejections since the last full recovery.
	ejections int
}

// poolStats are the statistics of a pool that its targets are compared with.
// latency, serviceTime and failureRate are medians over the targets.
type poolStats struct {
	latency, serviceTime time.Duration
	failureRate          float64
	// others is the mean number of requests of other hosts at a target.
	others float64
	// trust is the weight of the pool's load reports, 0 to 1.
	trust float64
}

// recordVerdict updates the health with the result of a request.
func (h *health) recordVerdict(v lb.Verdict) {
	if v == lb.Shed {
		h.consecutiveSheds++
	} else if v != lb.Abandoned {
		h.consecutiveSheds = 0
	}
	switch v {
	case lb.Succeeded:
		h.failureRate -= failureRateWeight * h.failureRate
		h.successes++
	case lb.Failed, lb.Shed, lb.TimedOut:
		h.failureRate += failureRateWeight * (1 - h.failureRate)
		h.successes = 0
	}
}

// failing reports whether requests fail far more often than in the pool.
func (h *health) failing(pool poolStats) bool {
	return h.failureRate >= max(ejectFailureRate, pool.failureRate+ejectFailureMargin)
}

// slow reports whether requests take far longer than in the pool. During a trial
// one very slow request is enough.
func (h *health) slow(latency time.Duration, samples int, pool poolStats) bool {
	factor, needed := slowFactor, minSlowSamples
	if h.phase == trial {
		factor, needed = trialSlowFactor, 1
	}
	return samples >= needed && pool.latency > 0 &&
		latency > max(time.Duration(factor)*pool.latency, slowFloor)
}

func unresponsive(unanswered time.Duration, pool poolStats) bool {
	return pool.latency > 0 && unanswered > max(unresponsiveFactor*pool.latency, unresponsiveFloor)
}

// eject ejects the target for a time that doubles with each ejection and is
// randomized to 50 % to 150 % of it.
func (h *health) eject(now time.Time, hosts int, rng *rand.Rand) {
	duration := h.ejectionTime(hosts)
	duration = time.Duration(float64(duration) * (0.5 + rng.Float64()))
	h.phase, h.ejectedUntil, h.successes = ejected, now.Add(duration), 0
	h.ejections++
}

// extendEjection extends an ejection to maxEjectionTime once requests that were
// still in flight show that the target sheds everything.
func (h *health) extendEjection(now time.Time) {
	if h.consecutiveSheds >= shedsToMaxEjection {
		h.ejectedUntil = now.Add(maxEjectionTime)
	}
}

// ejectionTime returns the duration of the next ejection before it is
// randomized.
func (h *health) ejectionTime(hosts int) time.Duration {
	if h.consecutiveSheds >= shedsToMaxEjection {
		return maxEjectionTime
	}
	return min(max(baseEjectionTime, time.Duration(hosts)*ejectionTimePerHost)<<min(h.ejections, 5), maxEjectionTime)
}

// advance starts the trial of a target whose ejection is over and resets the
// ejection count of a target that has recovered.
func (h *health) advance(now time.Time) {
	switch {
	case h.phase == ejected && !now.Before(h.ejectedUntil):
		h.phase, h.successes, h.failureRate = trial, 0, 0
	case h.phase == ready && h.ejections > 0 && now.Sub(h.rampStartedAt) > 2*rampDuration:
		h.ejections = 0
	}
}

// endTrial ends a trial with enough successes and starts the ramp-up. It returns
// true when it did.
func (h *health) endTrial(now time.Time) bool {
	if h.phase != trial || h.successes < trialSuccesses {
		return false
	}
	h.phase = ready
	h.rampStartedAt = now
	return true
}

// rejecting reports whether the target was ejected because it rejected all requests.
func (h *health) rejecting() bool {
	return h.phase != ready && h.consecutiveSheds >= minRejections
}

// endRejection gives a target its normal share again at once, as it was ejected for
// rejections and is known to serve requests.
func (h *health) endRejection(now time.Time) {
	if h.rejecting() {
		h.phase, h.failureRate, h.consecutiveSheds = ready, 0, 0
		h.rampStartedAt = now.Add(-rampDuration)
	}
}

// weight returns the share of its normal requests that a target receives, 0 to 1.
func (h *health) weight(now time.Time) float64 {
	if h.rampStartedAt.IsZero() {
		return 1
	}
	done := float64(now.Sub(h.rampStartedAt)) / float64(rampDuration)
	return min(max(done, rampStartWeight), 1)
}

func (h *health) String() string {
	switch h.phase {
	case ejected:
		return StateEjected
	case trial:
		return StateTrial
	default:
		return StateReady
	}
}
