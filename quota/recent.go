package quota

import (
	"net/netip"
	"time"
)

// recentDuration is how long an answer is at least kept for a repeated request:
// many times the time after which the asking host gives up.
const recentDuration = 500 * time.Millisecond

// callID identifies a request for a token by the address of the asking host and
// the ID of its message.
type callID struct {
	from netip.AddrPort
	id   uint64
}

// call is the record of one request.
type call struct {
	decision decision
	// returned is true when its token was given back.
	returned bool
}

// recentCalls keeps the answers of the last moments in two generations, so that a
// repeated message takes no second token and a repeated return gives none.
type recentCalls struct {
	current, previous map[callID]call
	rotatedAt         time.Time
}

func newRecentCalls() *recentCalls {
	return &recentCalls{current: map[callID]call{}, previous: map[callID]call{}}
}

func (r *recentCalls) rotate(now time.Time) {
	if now.Sub(r.rotatedAt) < recentDuration {
		return
	}
	r.previous, r.current, r.rotatedAt = r.current, map[callID]call{}, now
}

func (r *recentCalls) find(id callID) (call, bool) {
	if c, ok := r.current[id]; ok {
		return c, true
	}
	c, ok := r.previous[id]
	return c, ok
}

func (r *recentCalls) record(now time.Time, id callID, c call) {
	r.rotate(now)
	r.current[id] = c
}
