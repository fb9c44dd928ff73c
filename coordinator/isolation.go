package coordinator

import (
	"sync"
	"time"
)

const (
	// minUnansweredRequests is the number of consecutive requests without a
	// reply from which a host believes that it is cut off from the others: one
	// or two coordinators may be lost at once.
	minUnansweredRequests = 4
	// recentAnswerAge is the age up to which an answer of any other host shows
	// that this one is not cut off: hosts send several messages to the host
	// that reads the store in this time.
	recentAnswerAge = time.Second
)

// isolationDetector decides whether this host is cut off from the others. Each
// coordinator that it would ask then costs a request 50 ms, and there are as
// many coordinators to try as hosts. It is safe for concurrent use.
type isolationDetector struct {
	mu sync.Mutex
	// unanswered counts the requests since the last reply.
	unanswered int
}

// recordRequest records whether a coordinator replied.
func (r *isolationDetector) recordRequest(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.unanswered = 0
		return
	}
	r.unanswered++
}

// isolated reports whether this host is cut off, so that asking a coordinator
// is of no use; lastAnswerAt is when any other host last answered this one.
func (r *isolationDetector) isolated(now, lastAnswerAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unanswered >= minUnansweredRequests && now.Sub(lastAnswerAt) > recentAnswerAge
}
