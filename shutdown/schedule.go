package shutdown

import (
	"math/rand/v2"
	"time"
)

const (
	// repeatableMargin and nonRepeatableMargin multiply the expected duration of a
	// request. The outcome of a request that is cut while its target works on it is
	// unknown, and the caller of one that is not repeatable can't send it again.
	repeatableMargin    = 1.1
	nonRepeatableMargin = 1.25
	// unknownWorkShare bounds the expected duration of a request of which little is
	// known, as a part of the time between the beginning of the stop and the cut.
	unknownWorkShare = 0.5
	// meanRetryAfter is the mean Retry-After of a request that is refused because its
	// host stops: other hosts take it at once.
	meanRetryAfter = 100 * time.Millisecond
)

// Schedule is the timetable of one planned stop.
type Schedule struct {
	// Began is when the stop began.
	Began time.Time
	// LateFrom is when the host has stopped accepting connections and has closed the
	// idle ones. What arrives later was begun before, by a slow caller.
	LateFrom time.Time
	// CutAt is when the requests that targets still work on are ended; zero stands for
	// never.
	CutAt time.Time
}

// Request is what the decision about one request depends on.
type Request struct {
	// Arrived is when the request had arrived completely; zero while a part of its
	// body has not.
	Arrived time.Time
	// Deadline is when the request ends in any case.
	Deadline time.Time
	// Repeatable is true for an idempotent request.
	Repeatable bool
	// Estimate is the expected duration of the request.
	Estimate Estimate
}

// LatestArrival returns the time by which a request with that deadline has to have
// arrived completely in order to be passed on.
func (s Schedule) LatestArrival(deadline time.Time) time.Time {
	if s.endsInTime(deadline) {
		return deadline
	}
	return s.LateFrom
}

// LatestDispatch returns the time until which the request may be passed on to a target.
// A request that ends by its own deadline before the cut is not limited. Otherwise a
// request that arrived late is never passed on, nor is one whose body is still
// arriving: its target could be at work at the cut however short the work usually is.
func (s Schedule) LatestDispatch(r Request) time.Time {
	if s.endsInTime(r.Deadline) {
		return r.Deadline
	}
	if r.Arrived.IsZero() || r.Arrived.After(s.LateFrom) {
		return s.Began
	}
	return s.CutAt.Add(-s.expectedDuration(r))
}

// expectedDuration returns how long the request may take from its dispatch to the end of
// its response. While few requests of its kind have ended, their objective counts as
// well.
func (s Schedule) expectedDuration(r Request) time.Duration {
	margin := nonRepeatableMargin
	if r.Repeatable {
		margin = repeatableMargin
	}
	expected := time.Duration(margin * float64(r.Estimate.Longest))
	if r.Estimate.Known {
		return expected
	}
	unknown := time.Duration(unknownWorkShare * float64(s.CutAt.Sub(s.Began)))
	if r.Estimate.Objective > 0 {
		unknown = min(unknown, r.Estimate.Objective)
	}
	return max(expected, unknown)
}

// AnswerBy returns the time by which a request with that deadline has to be answered.
func (s Schedule) AnswerBy(deadline time.Time) time.Time {
	if s.endsInTime(deadline) {
		return deadline
	}
	return s.CutAt
}

// endsInTime reports whether a request with that deadline ends before the cut.
func (s Schedule) endsInTime(deadline time.Time) bool {
	return s.CutAt.IsZero() || !deadline.After(s.CutAt)
}

// RetryAfter returns the Retry-After of a request that is refused because its host
// stops. It is random, so that callers that were refused together don't return together.
func RetryAfter() time.Duration { return meanRetryAfter/2 + rand.N(meanRetryAfter) }
