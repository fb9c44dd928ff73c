package placement

import (
	"time"
)

const (
	// recheckInterval is the mean time between two load queries of targets
	// without room; it is short against a request's service time and long against the
	// network round trip.
	recheckInterval = 8 * time.Millisecond
	// queueAfterShare is the part of the objective after which a request may join the
	// queue of a target; before that it waits for a free slot.
	queueAfterShare = 0.1
	// maxQueuedPerTarget is the number of requests that may wait in a target's
	// queue. Targets queue a few and drop the rest, and several hosts may send
	// at the same moment.
	maxQueuedPerTarget = 1
	// maxHedgeDurationFactor is the longest expected time, in multiples of the
	// usual service time, at which a hedged copy is sent in addition to the
	// first: it must not take a slot that other requests wait for.
	maxHedgeDurationFactor = 1.3
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// decisionInput is what the decision about one request depends on.
type decisionInput struct {
	now, received, deadline time.Time
	// serviceTime is the usual time of a request of the pool on an idle target.
	serviceTime time.Duration
	// objective is the time within which a response is worth most, counted from its
	// arrival; 0 when unknown.
	objective time.Duration
	// waiting is the number of requests that wait, servable how many a second the
	// targets serve.
	waiting  int
	servable float64
	// hedge is true for a copy of a request that is already in flight.
	hedge bool
	// unfinishable is true for a request that may only be sent to a target that is
	// expected to finish it, which best is not.
	unfinishable bool
	// best is the target with the lowest cost.
	best targetState
}

// decision is what to do with a request.
type decision uint8

const (
	// send dispatches to the best target now.
	send decision = iota + 1
	// wait keeps the request queued; it is decided about again later.
	wait
	// refuse rejects the request: no target can finish it before its deadline,
	// or, for a hedged copy, none is free enough.
	refuse
)

// decide returns whether to send, wait or refuse.
func (s decisionInput) decide() decision {
	if s.hedge {
		if s.best.hasFreeSlot() && s.best.durationFactor() <= maxHedgeDurationFactor {
			return send
		}
		return refuse
	}
	left := s.deadline.Sub(s.now)
	if left < s.serviceTime {
		return refuse
	}
	if s.unfinishable {
		return s.decideUnfinishable()
	}
	if s.best.hasFreeSlot() || s.best.mayQueue() && s.mayQueue() {
		return send
	}
	if s.expectedDuration() > left {
		return refuse
	}
	return wait
}

// mayQueue reports whether a request may join the queue of a target: once it has waited
// for a slot that gets free elsewhere, and at once while more requests wait than slots
// get free in that time. Less urgent requests, which have waited longer, would otherwise
// take all places in these queues.
func (s decisionInput) mayQueue() bool {
	objective := s.objective
	if objective <= 0 {
		objective = s.deadline.Sub(s.received)
	}
	wait := time.Duration(queueAfterShare * float64(objective))
	return s.now.Sub(s.received) >= wait || float64(s.waiting) > wait.Seconds()*s.servable
}

// retryAfter is when a refused caller may find room: after the work that is
// ahead of its request has ended.
func (s decisionInput) retryAfter() time.Duration {
	return min(max(s.expectedDuration(), minRetryAfter), maxRetryAfter)
}

// expectedDuration is the time until a request that is sent to the best target
// now ends.
func (s decisionInput) expectedDuration() time.Duration {
	return time.Duration(s.best.durationFactor() * float64(s.serviceTime))
}
