package placement

import (
	"time"
)

const (
	// askAgain is the time between two looks at targets without room; it is
	// short against the work of a request, and long against the way there.
	askAgain = 8 * time.Millisecond
	// queueAfter is the part of the objective after which a request may queue
	// at a target behind others; before that it waits for a free slot.
	queueAfter = 0.1
	// queuedMost is the number of requests that may wait at a target. Targets
	// queue a few and drop what they can't queue, and several hosts may send
	// at the same moment.
	queuedMost = 1
	// besideDuration is the longest expected time, in multiples of usual work, at which a second copy is sent beside the
	// first: it must not take a slot that others wait for.
	besideDuration = 1.3
	// leastReturn and mostReturn bound what a refusal asks a caller to wait.
	leastReturn = 50 * time.Millisecond
	mostReturn  = 2 * time.Second
)

// situation is what a request that waits for a target decides by.
type situation struct {
	now, received, deadline time.Time
	// objective is the time within which an answer is worth most; 0 if unknown.
	objective time.Duration
	// work is the usual time of a request of the pool on an idle target.
	work time.Duration
	// beside is true for a second copy.
	beside bool
	// best is the target with the least cost.
	best view
}

// verdict is what becomes of a waiting request.
type verdict uint8

const (
	// send to the best target now.
	send verdict = iota + 1
	// wait and look again.
	wait
	// refuse: no target can end the request before its deadline.
	refuse
)

// decide says whether to send, wait or refuse.
func (s situation) decide() verdict {
	if s.beside {
		if s.best.free() && s.best.duration() <= besideDuration {
			return send
		}
		return refuse
	}
	left := s.deadline.Sub(s.now)
	if left < s.work {
		return refuse
	}
	if s.best.free() {
		return send
	}
	queued := s.best.present - s.best.slots
	if queued < queuedMost && s.waitedLong() {
		return send
	}
	if s.expected() > left {
		return refuse
	}
	return wait
}

func (s situation) waitedLong() bool {
	objective := s.objective
	if objective <= 0 {
		objective = s.deadline.Sub(s.received)
	}
	return float64(s.now.Sub(s.received)) >= queueAfter*float64(objective)
}

// comeBack is when a refused caller may find room: after the work that is
// ahead of it has ended.
func (s situation) comeBack() time.Duration {
	return min(max(s.expected(), leastReturn), mostReturn)
}

// expected is the time until a request that is sent to the best target ends.
func (s situation) expected() time.Duration {
	return time.Duration(s.best.duration() * float64(s.work))
}
