package placement

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

const (
	// finishMargin is the part of the remaining time in which a target must be
	// expected to finish an order: calls of one route take up to half more than their
	// mean.
	finishMargin = 0.67
	// returnReserve is how many times the usual duration of an order must be left when it
	// is refused because no target is expected to finish it: one to come back, one
	// to run.
	returnReserve = 2.0
)

// heldBack reports whether a request may only be sent to a target that is expected
// to finish it before its deadline: an order or upload whose target is still working
// at the deadline has an unknown outcome, and its caller may not retry. Only
// deployments that use workspaces, home regions or uploads ask for it; the others
// are served as before.
func (p *partition) heldBack(q lb.PlaceQuery) bool {
	inUse := p.extended.Load() || q.Workspace != "" || q.Regions != nil || q.BodyBytes > 0
	return inUse && !q.Route.Idempotent
}

// finishes reports whether the target is expected to finish a request in the time
// left, if its slowdown lasts.
func (s targetState) finishes(serviceTime, left time.Duration) bool {
	s.fullSlowdown = true
	return s.durationFactor()*float64(serviceTime) <= finishMargin*float64(left)
}

// finishing returns the candidates that are expected to finish a request, or all
// when there are none. The caller holds the lock.
func (p *partition) finishing(now time.Time, candidates []*target, q lb.PlaceQuery) []*target {
	serviceTime, left := p.serviceTimeLocked(), q.Deadline.Sub(now)
	able := lo.Filter(candidates, func(t *target, _ int) bool { return p.state(now, t, q.FailureDomain).finishes(serviceTime, left) })
	return lo.Ternary(len(able) > 0, able, candidates)
}

// unfinishable reports whether a request must not be sent to a target in that
// state. The caller holds the lock.
func (p *partition) unfinishable(now time.Time, q lb.PlaceQuery, v targetState) bool {
	return p.heldBack(q) && !v.finishes(p.serviceTimeLocked(), q.Deadline.Sub(now))
}

// decideUnfinishable decides about a request that the best target is not expected to
// finish: it waits for another as long as there is time for it to come back after a
// refusal.
func (s decisionInput) decideUnfinishable() decision {
	if s.deadline.Sub(s.now) < s.returnTime() {
		return refuse
	}
	return wait
}

// returnTime is the least time left at which a refused order can still be served.
func (s decisionInput) returnTime() time.Duration {
	return time.Duration(returnReserve / finishMargin * float64(s.serviceTime))
}

// returnAfter is when a refused order may come back: a random time in the second half
// of that in which it can still be served then at the usual speed. When the
// slow spells of the targets end is unknown.
func (s decisionInput) returnAfter() time.Duration {
	usual := time.Duration(targetState{slots: 1}.durationFactor() / finishMargin * float64(s.serviceTime))
	latest := max(s.deadline.Sub(s.now)-usual, minRetryAfter)
	return latest/2 + rand.N(latest/2)
}

// refuseUnfinishable refuses an order that no target is expected to finish. The caller
// holds the partition's lock.
func (b *Balancer) refuseUnfinishable(p *partition, q lb.PlaceQuery, s decisionInput) *lb.Refusal {
	if b.unfinishableLog.AllowN(s.now, 1) {
		b.logRefusal(p, q, s, "request refused: no target is expected to finish the order before its deadline")
	}
	b.metrics.unfinishable.WithLabelValues(q.Pool).Inc()
	return b.refuse(q, outcome.QueueFull, s.returnAfter())
}
