package placement

import (
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
)

// Model of the time that a request takes at a target, in multiples of the
// service time of a usual request on an idle target.
const (
	// fullLoadFactor is the slowdown of a target whose slots are all busy.
	fullLoadFactor = 1.6
	// coldStartFactor is the slowdown of a target that has just started.
	coldStartFactor = 2.0
	// slowdownWeight is the part of a reported slowdown that counts: slow
	// spells mostly end before the request does.
	slowdownWeight = 0.5
	// failurePenalty weighs the share of failed calls: a failure costs the
	// caller at least one complete further attempt.
	failurePenalty = 4.0
	// crossDomainPenalty is added for a target in another failure domain: the
	// round trip, and the bytes sent across.
	crossDomainPenalty = 0.35
	// localRoomPreference is added for a target in another failure domain and for one
	// without a free slot. A request stays in its domain while a target there has room,
	// unless that is much slower, and crosses domains rather than waits for a slot,
	// unless it would get the last one there.
	localRoomPreference = 0.45
	// agePenalty is added for a report that is fullAgePenaltyAt old or older,
	// in proportion below: other hosts may have sent requests meanwhile.
	agePenalty       = 0.5
	fullAgePenaltyAt = 100 * time.Millisecond
)

// targetState is what is known of a target at the moment of a choice.
type targetState struct {
	// outstanding is the number of requests at the target, those in its queue
	// included.
	outstanding int
	slots       int
	// slowdown is how many times as long as usual a request takes now; 0 when
	// unknown.
	slowdown float64
	// cold is true shortly after the target's start, crossDomain when it is in
	// another failure domain.
	cold        bool
	crossDomain bool
	// fullSlowdown is true when the slowdown is expected to last.
	fullSlowdown bool
	// bodyBytes is the size of an upload's body.
	bodyBytes int64
	// failureRate is the share of calls that failed lately.
	failureRate float64
	// reportAge is the age of the load report.
	reportAge time.Duration
	// rateLimit is the limit in force.
	rateLimit backpressure.Limit
	// noQueue is true when requests don't join the target's own queue.
	noQueue bool
}

// hasFreeSlot reports whether a request would find a free slot.
func (s targetState) hasFreeSlot() bool { return s.outstanding < s.slots }

// mayQueue reports whether a request may wait in the target's own queue.
func (s targetState) mayQueue() bool {
	return !s.noQueue && s.outstanding-s.slots < maxQueuedPerTarget
}

// atUsualSpeed returns the state with the slowdown removed.
func (s targetState) atUsualSpeed() targetState {
	s.slowdown = 0
	return s
}

func (s targetState) basis() lb.SelectionBasis {
	return lb.SelectionBasis{Outstanding: s.outstanding, Slots: s.slots, Slowdown: s.slowdown, Age: s.reportAge, Cost: s.cost(), RateLimit: s.rateLimit.PerSecond, RateLimitReason: s.rateLimit.Reason}
}

// durationFactor is the expected time of a request in multiples of the usual
// service time.
func (s targetState) durationFactor() float64 {
	slots := float64(max(s.slots, 1))
	speed := 1.0
	if s.slowdown > 1 {
		speed += (s.slowdown - 1) * lo.Ternary(s.fullSlowdown, 1, slowdownWeight)
	}
	if s.cold {
		speed *= coldStartFactor
	}
	utilization := float64(s.outstanding+1) / slots
	factor := speed
	if utilization >= 1 {
		factor *= fullLoadFactor
	} else {
		factor *= 1 + (fullLoadFactor-1)*utilization*utilization
	}
	if waiting := float64(s.outstanding+1) - slots; waiting > 0 {
		factor += waiting / slots * speed * fullLoadFactor
	}
	return factor
}

// cost is what targets are compared by, lowest first: the durationFactor with
// the penalties for failures, another failure domain, no room and an old report.
func (s targetState) cost() float64 {
	cost := s.durationFactor() * (1 + failurePenalty*s.failureRate)
	if s.crossDomain {
		cost += domainPenalty(s.bodyBytes)
	}
	if s.crossDomain || !s.hasFreeSlot() {
		cost += localRoomPreference
	}
	return cost + agePenalty*min(float64(s.reportAge)/float64(fullAgePenaltyAt), 1)
}
