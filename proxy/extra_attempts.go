package proxy

import (
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

// hedgeAfter returns the delay before a hedged attempt: the route's own or, on
// a route that sets none and allows retries, what its present latencies say or a
// fraction of its latency objective. 0 means no hedging, or that a hedged attempt would
// come too late.
func (c *call) hedgeAfter() time.Duration {
	route := c.match.Route
	if route.HedgeAfter > 0 || route.Retries < 1 {
		return route.HedgeAfter
	}
	if extra := c.server.opts.ExtraAttempts; extra != nil {
		now := c.now()
		if delay, known := extra.Delays.After(now, route.Name, c.received.Add(route.Objective).Sub(now), route.Objective > 0); known {
			return delay
		}
	}
	return time.Duration(float64(route.Objective) * c.server.limits.HedgeObjectiveFraction)
}

// countFirstAttempt counts a first attempt in the budgets of further ones.
func (c *call) countFirstAttempt(pool string, now time.Time) {
	c.server.opts.Retries.Deposit(pool, now)
	extra := c.server.opts.ExtraAttempts
	if extra == nil {
		return
	}
	if extra.Budget != nil {
		extra.Budget.Deposit(pool, now)
	}
	if extra.Queries != nil {
		extra.Queries.Deposit()
	}
}

// allow reports whether a hedged attempt is within the budget, or may be
// asked for where the balancer keeps it.
func (e *ExtraAttempts) allow(pool string, now time.Time) bool {
	if e.Queries != nil && !e.Queries.Withdraw(now) {
		return false
	}
	return e.Budget == nil || e.Budget.Withdraw(pool, now)
}

// recordLatency records how long the first attempt of an idempotent request took, or
// how long it had lasted when another one responded first: its target is no faster for
// having been cancelled. One that its caller gave up says nothing.
func (c *call) recordLatency(t *upstreamAttempt) {
	extra := c.server.opts.ExtraAttempts
	if extra == nil || t.number != 1 || t.started.IsZero() || !c.match.Route.Idempotent || c.callerLeft.Load() {
		return
	}
	switch t.feedback.Verdict {
	case lb.Succeeded, lb.Abandoned, lb.TimedOut:
		now := c.now()
		extra.Delays.Record(now, c.match.Route.Name, now.Sub(t.started))
	}
}

// suspected reports whether targets have ended under requests like this one, so that
// a copy could end another target.
func (c *call) suspected() bool {
	guard := c.server.opts.Guard
	return guard != nil && guard.Active() && guard.Suspected(c.contentHash())
}

// firstAttemptSent starts the wait for a copy under a limit on extra attempts: the
// latencies of a route count from the dispatch.
func (c *call) firstAttemptSent(t *upstreamAttempt) {
	if t.number == 1 && c.server.opts.ExtraAttempts != nil {
		c.startHedgeTimer()
	}
}
