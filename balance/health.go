package balance

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutfield/chestnutfield/ports"
)

const (
	// failWeight is the weight of one call in the failure share.
	failWeight = 0.3
	// failShare is the failure share from which a target is set aside, and
	// failMargin its least distance from the pool's median.
	failShare, failMargin = 0.5, 0.4
	// slowFactor times the pool's median latency, and at least slowFloor, is
	// the latency from which a target is set aside.
	slowFactor = 5
	slowFloor  = 20 * time.Millisecond
	// trialSlowFactor is slowFactor for a single call of a trial.
	trialSlowFactor = 6
	// slowSamples is the number of calls before a target counts as slow.
	slowSamples = 10
	// stuckFactor times the median latency, and at least stuckFloor, is the
	// age of an unanswered call from which a target that answers no other is
	// set aside.
	stuckFactor = 10
	stuckFloor  = 250 * time.Millisecond
	// asideFirst is the first time set aside, asidePerHost what each sharing
	// host adds so that the hosts together try seldom, asideLongest the
	// longest.
	asideFirst   = time.Second
	asidePerHost = 400 * time.Millisecond
	asideLongest = 30 * time.Second
	// refusedInRow is the number of calls refused one after another from which
	// a target is taken to leave without saying so; it is set aside for the
	// longest time.
	refusedInRow = 3
	// trialSuccesses is the number of calls that end a trial.
	trialSuccesses = 3
	// rampTime is the time from a first call to a full share, and rampStart
	// the share at its start.
	rampTime  = 5 * time.Second
	rampStart = 0.1
)

// phase is the health of a target as this host sees it.
type phase uint8

const (
	// ready: takes its full share, or a growing one while it ramps.
	ready phase = iota
	// aside: takes nothing until a time.
	aside
	// trial: takes one call at a time until some succeed.
	trial
)

// health decides whether a target takes calls. It is pure.
type health struct {
	phase     phase
	until     time.Time
	rampFrom  time.Time
	fails     float64
	successes int
	// refused counts the calls that were refused one after another.
	refused int
	// times counts the times set aside without full recovery between.
	times int
}

// typical is what the pool shows, for comparison.
type typical struct {
	latency, service time.Duration
	fails            float64
	// others is the mean number of other hosts' requests at a target.
	others float64
	// trust is the weight of the pool's reports, 0 to 1.
	trust float64
}

// ended takes the end of a call.
func (h *health) ended(v ports.Verdict) {
	if v == ports.Shed {
		h.refused++
	} else if v != ports.Abandoned {
		h.refused = 0
	}
	switch v {
	case ports.Succeeded:
		h.fails -= failWeight * h.fails
		h.successes++
	case ports.Failed, ports.Shed, ports.TimedOut:
		h.fails += failWeight * (1 - h.fails)
		h.successes = 0
	}
}

// failing reports whether calls fail far more often than in the pool.
func (h *health) failing(pool typical) bool {
	return h.fails >= max(failShare, pool.fails+failMargin)
}

// slow reports whether calls take far longer than in the pool. In a trial one
// very slow call is enough.
func (h *health) slow(latency time.Duration, samples int, pool typical) bool {
	factor, needed := slowFactor, slowSamples
	if h.phase == trial {
		factor, needed = trialSlowFactor, 1
	}
	return samples >= needed && pool.latency > 0 &&
		latency > max(time.Duration(factor)*pool.latency, slowFloor)
}

func stuck(silence time.Duration, pool typical) bool {
	return pool.latency > 0 && silence > max(stuckFactor*pool.latency, stuckFloor)
}

// setAside takes the target out for a while that doubles with every time.
func (h *health) setAside(now time.Time, hosts int, rng *rand.Rand) {
	hold := h.hold(hosts)
	hold = time.Duration(float64(hold) * (0.5 + rng.Float64()))
	h.phase, h.until, h.successes = aside, now.Add(hold), 0
	h.times++
}

// prolong keeps a target aside for the longest time once calls that were still
// in flight show that it refuses all.
func (h *health) prolong(now time.Time) {
	if h.refused >= refusedInRow {
		h.until = now.Add(asideLongest)
	}
}

// hold is the time for which the target is set aside, before it is spread.
func (h *health) hold(hosts int) time.Duration {
	if h.refused >= refusedInRow {
		return asideLongest
	}
	return min(max(asideFirst, time.Duration(hosts)*asidePerHost)<<min(h.times, 5), asideLongest)
}

// advance moves a target whose time is over into its trial.
func (h *health) advance(now time.Time) {
	switch {
	case h.phase == aside && !now.Before(h.until):
		h.phase, h.successes, h.fails = trial, 0, 0
	case h.phase == ready && h.times > 0 && now.Sub(h.rampFrom) > 2*rampTime:
		h.times = 0
	}
}

// recover ends a trial that went well; it returns true when it did.
func (h *health) recover(now time.Time) bool {
	if h.phase != trial || h.successes < trialSuccesses {
		return false
	}
	h.phase = ready
	h.rampFrom = now
	return true
}

// weight is the share of its normal calls that a target takes, 0 to 1.
func (h *health) weight(now time.Time) float64 {
	if h.rampFrom.IsZero() {
		return 1
	}
	done := float64(now.Sub(h.rampFrom)) / float64(rampTime)
	return min(max(done, rampStart), 1)
}

func (h *health) String() string {
	switch h.phase {
	case aside:
		return StateSetAside
	case trial:
		return StateTrial
	default:
		return StateReady
	}
}
