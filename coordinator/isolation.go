package coordinator

import (
	"sync"
	"time"
)

const (
	// minUnansweredRequests is the number of consecutive requests without a
	// response from which a host believes that it is cut off from the others:
	// one or two coordinators may be lost at once.
	minUnansweredRequests = 4
	// recentResponseAge is the age up to which a response of any other host
	// shows that this one is not cut off: hosts send several messages to the
	// host that reads the store in this time.
	recentResponseAge = time.Second
)

// isolationDetector decides whether this host is cut off from the others. While
// it is, each coordinator that it asks delays a request by 50 ms, and there are
// as many coordinators to try as hosts. It is safe for concurrent use.
type isolationDetector struct {
	mu sync.Mutex
	// unanswered counts the requests without a response since the last response.
	unanswered int
}

// recordRequest records whether a coordinator answered a request.
func (d *isolationDetector) recordRequest(answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answered {
		d.unanswered = 0
		return
	}
	d.unanswered++
}

// isolated reports whether this host is cut off, so that asking a coordinator
// is of no use; lastResponseAt is when any other host last responded to this
// one.
func (d *isolationDetector) isolated(now, lastResponseAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unanswered >= minUnansweredRequests && now.Sub(lastResponseAt) > recentResponseAge
}
