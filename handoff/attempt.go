package handoff

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/owner"
)

// attempt is one request handed to the owner of a group. It implements
// lb.PeerAttempt and lb.ObservedAttempt.
type attempt struct {
	pool    *poolState
	group   owner.Group
	addr    netip.AddrPort
	metrics *metrics
	done    atomic.Bool
	// retryAt is when the request may be sent again by its response, zero when that
	// does not say so. The goroutine that runs the attempt owns it.
	retryAt time.Time
}

// Target returns the address of the group's owner.
func (a *attempt) Target() netip.AddrPort { return a.addr }

// Group returns the name of the group that the owner has to dispatch to.
func (a *attempt) Group() (string, bool) { return a.group.String(), true }

// Observe keeps the Retry-After of a response, which Done records when the request did
// not run. Other headers with which a target asks for fewer requests concern the owner
// alone.
func (a *attempt) Observe(s backpressure.Signal) {
	if s.RetryAfter > 0 {
		a.retryAt = s.HeardAt.Add(s.RetryAfter)
	}
}

// Done ends the attempt and records whether its owner could be reached and the
// group load that it reported. Only the first call has an effect.
func (a *attempt) Done(now time.Time, f lb.Feedback) {
	if a.done.Swap(true) {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.chooser.Done(a.group)
	if f.Verdict == lb.Shed && !a.retryAt.IsZero() {
		a.pool.refusedUntil[a.group] = a.retryAt
	}
	if f.ConnectFailed {
		a.metrics.unreachable.Inc()
		a.pool.chooser.MarkUnreachable(now, a.group)
		return
	}
	if f.Verdict == lb.Succeeded || f.GroupLoad != "" {
		a.pool.chooser.MarkReachable(a.group)
	}
	if f.GroupLoad == "" {
		return
	}
	load, err := ParseGroupLoad(f.GroupLoad)
	if err != nil || !a.pool.chooser.RecordLoad(now, a.group, load) {
		a.metrics.badReports.Inc()
	}
}
