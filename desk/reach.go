package desk

import (
	"sync"
	"time"
)

const (
	// silentHosts is the number of questions in a row without a sign of life
	// after which a host believes that it is cut off from the others: one or two
	// desks may be lost at once.
	silentHosts = 4
	// heardLately is the age of an answer of any other host that speaks against
	// a cut: hosts ask the reader of the store several times in it.
	heardLately = time.Second
)

// reach decides whether this host is cut off from the others. Each desk that
// it would ask then costs a request 50 ms, and there are as many desks to ask
// as hosts. It is safe for concurrent use.
type reach struct {
	mu sync.Mutex
	// silent counts the questions since the last sign of life.
	silent int
}

// ended notes whether a desk gave a sign of life.
func (r *reach) ended(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.silent = 0
		return
	}
	r.silent++
}

// cutOff reports whether asking is of no use; heard is when any other host last
// answered this one.
func (r *reach) cutOff(now, heard time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent >= silentHosts && now.Sub(heard) > heardLately
}
