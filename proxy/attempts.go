package proxy

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// hedgeEnds is the number of final actions that a hedged attempt can produce.
const hedgeEnds = 1

// upstreamAttempt is one attempt to send the request to a target. The
// goroutine that runs it owns it until its response is forwarded.
type upstreamAttempt struct {
	ctx    context.Context
	number int
	picked lb.Attempt
	// x and responseReady are guarded by the call's mutex. Once responseReady
	// is true, the attempt belongs to the goroutine of the request.
	x             *upstream.Exchange
	responseReady bool
	// stopDial cancels the opening of a connection; nil when no other attempt
	// can run at the same time.
	stopDial context.CancelFunc
	started  time.Time
	// bufferedBody is the response body when it was buffered completely.
	bufferedBody []byte
	// bodyComplete is true when the complete response arrived before it was forwarded.
	bodyComplete bool
	status       int
	notRun       bool
	// refused is true when notRun holds for all targets of the pool.
	refused bool
	// requestSent is true when a streamed request was sent completely.
	requestSent bool
	// workspace is the workspace that the target is told of, "" for none.
	workspace string
	// err is why the attempt failed, nil when it did not.
	err      error
	feedback lb.Feedback
	done     bool
}

// run carries out the actions of the state machine until the request has a
// response.
func (c *call) run() {
	act := c.step(attempt.Event{Kind: attempt.Admitted})
	if c.server.opts.ExtraAttempts == nil {
		c.startHedgeTimer()
	}
	for {
		switch act.Kind {
		case attempt.Pick:
			act = c.pick(act)
		case attempt.Dispatch:
			act = c.exchange(c.attempt(act.Attempt))
		case attempt.Forward:
			c.forward(act.Attempt)
			return
		case attempt.Finish:
			c.finish(act.End)
			return
		default:
			act = c.waitForEnd()
		}
	}
}

// waitForEnd waits for the hedged attempt when this goroutine has nothing
// left to do.
func (c *call) waitForEnd() attempt.Action {
	c.mu.Lock()
	end, ended := c.machine.Ended()
	c.mu.Unlock()
	if ended {
		return attempt.Action{Kind: attempt.Finish, End: end}
	}
	if c.hedgeEnd == nil {
		panic("proxy: request has neither an attempt nor an end")
	}
	return c.waitForHedge()
}

// waitForHedge waits for the final action of the hedged attempt or for the
// deadline.
func (c *call) waitForHedge() attempt.Action {
	select {
	case act := <-c.hedgeEnd:
		return act
	case <-c.ctx.Done():
		return c.step(attempt.Event{Kind: attempt.Expired})
	}
}

// startHedgeTimer starts a hedged attempt after the hedge delay. Under a limit on extra
// attempts there may be none that is useful.
func (c *call) startHedgeTimer() {
	delay := c.hedgeAfter()
	if c.hedgeEnd == nil || delay <= 0 && c.server.opts.ExtraAttempts != nil {
		return
	}
	c.server.attempts.Add(1)
	c.hedgeTimer = c.server.opts.Clock.AfterFunc(cmp.Or(delay, c.hedgeDelay), func() {
		defer c.server.attempts.Done()
		c.runHedge()
	})
}

// stopHedgeTimer cancels a hedged attempt that has not started.
func (c *call) stopHedgeTimer() {
	if c.hedgeTimer != nil && c.hedgeTimer.Stop() {
		c.server.attempts.Done()
	}
}

// runHedge runs the hedged attempt, and any retry after it, concurrently with
// the goroutine of the request, and sends that goroutine the final action.
func (c *call) runHedge() {
	if c.deferHedge() || (c.server.opts.ExtraAttempts != nil && c.suspected()) {
		return
	}
	act := c.step(attempt.Event{Kind: attempt.HedgeDue})
	for {
		switch act.Kind {
		case attempt.Pick:
			act = c.pick(act)
		case attempt.Dispatch:
			act = c.exchange(c.attempt(act.Attempt))
		case attempt.Forward, attempt.Finish:
			c.hedgeEnd <- act
			c.abandon(act.Attempt)
			return
		default:
			return
		}
	}
}

// pick chooses the target of an attempt.
func (c *call) pick(act attempt.Action) attempt.Action {
	now, pool := c.now(), c.match.Pool.Name
	none := attempt.Event{Kind: attempt.NoTarget, Attempt: act.Attempt, Reason: outcome.NoTarget}
	if refused, ok := c.quarantined(act); ok {
		return c.step(refused)
	}
	if !c.withinRetryBudget(act, pool, now) {
		return c.step(none)
	}
	a, refusal := c.pickTarget(act, pool, now)
	if refusal != nil {
		refusal = c.stopRefusalOr(refusal)
		none.Reason = refusal.Reason
		c.setRetryAfter(refusal.RetryAfter)
		return c.step(none)
	}
	t := &upstreamAttempt{number: act.Attempt, picked: a, ctx: c.ctx}
	if c.hedgeEnd != nil {
		t.ctx, t.stopDial = context.WithCancel(c.ctx)
	}
	next, hedgeDeferred := c.addAttempt(t)
	if next.Kind != attempt.Dispatch {
		c.endAttempt(t, lb.Abandoned)
	} else if hedgeDeferred {
		c.startHedgeTimer()
	}
	return next
}

// addAttempt records an attempt that has a target. It reports whether a hedged
// attempt was due before.
func (c *call) addAttempt(t *upstreamAttempt) (next attempt.Action, hedgeDeferred bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, t)
	hedgeDeferred, c.hedgeDeferred = c.hedgeDeferred, false
	return c.machine.Step(attempt.Event{Kind: attempt.Picked, Attempt: t.number, At: now}), hedgeDeferred
}

// hedgesWhilePicking reports whether a hedged attempt may start while the first one
// waits for a target: in a queue it can be at another coordinator, which finds a target
// when the first one has stopped responding. A balancer without a queue chooses at once,
// and would choose the same target again.
func (c *call) hedgesWhilePicking() bool {
	_, queueing := c.server.opts.Balancer.(lb.QueueingBalancer)
	return queueing
}

// deferHedge reports whether a hedged attempt has to wait until the first one has a
// target, and notes that it does.
func (c *call) deferHedge() bool {
	if c.hedgesWhilePicking() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedgeDeferred = len(c.attempts) == 0
	return c.hedgeDeferred
}

// pickTarget asks the balancer for a target; a lb.QueueingBalancer may wait
// for one.
func (c *call) pickTarget(act attempt.Action, pool string, now time.Time) (lb.Attempt, *lb.Refusal) {
	if placer, ok := c.server.opts.Balancer.(lb.QueueingBalancer); ok {
		began := c.now()
		defer c.addWait(began)
		return placer.Place(c.stop.waiting, lb.PlaceQuery{
			Pool: pool, Route: c.match.Route, Received: c.received, Waited: c.waited, Deadline: c.answerBy(),
			Exclude: c.triedTargets(), Subsequent: act.NeedsBudget, Hedge: c.attemptInFlight(), RequestID: c.in.requestID,
			Workspace: c.in.access.workspaceName(), Weight: c.in.access.weight(),
			Regions: c.in.access.regions, BodyBytes: c.uploadBytes(),
		})
	}
	q := lb.PickQuery{Pool: pool, Class: c.match.Route.Class, Now: now, Exclude: c.triedTargets(), Deadline: c.answerBy()}
	a, refusal := c.pickOrRefuse(q)
	if refusal != nil && c.lastWasStale() {
		q.Exclude = nil
		a, refusal = c.pickOrRefuse(q)
	}
	return a, refusal
}

// pickOrRefuse asks a balancer that does not queue for a target.
func (c *call) pickOrRefuse(q lb.PickQuery) (lb.Attempt, *lb.Refusal) {
	if b, ok := c.server.opts.Balancer.(lb.RefusingBalancer); ok {
		return b.PickOrRefuse(c.stop.waiting, q)
	}
	if a, ok := c.server.opts.Balancer.Pick(q); ok {
		return a, nil
	}
	return nil, &lb.Refusal{Reason: outcome.NoTarget}
}

func (c *call) setRetryAfter(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryAfter = d
}

// withinRetryBudget reports whether the retry budget allows the attempt.
// Without a budget, an attempt that may have run is never retried.
func (c *call) withinRetryBudget(act attempt.Action, pool string, now time.Time) bool {
	budget := c.server.opts.Retries
	if extra := c.server.opts.ExtraAttempts; extra != nil && act.NeedsBudget && c.attemptInFlight() {
		return extra.allow(pool, now)
	}
	switch {
	case budget == nil:
		return !act.NeedsBudget || c.end().Outcome == outcome.NotRun
	case act.NeedsBudget && c.lastUnsent():
		// The budget bounds the load on targets, and the last attempt reached
		// none.
		return true
	case act.NeedsBudget:
		return budget.Withdraw(pool, now)
	default:
		c.countFirstAttempt(pool, now)
		return true
	}
}

// lastUnsent reports whether no connection could be opened for the last attempt.
func (c *call) lastUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsent
}

// lastWasStale reports whether the last attempt was lost on a reused
// connection, so that its target may be tried again.
func (c *call) lastWasStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.staleConnection
}

// attemptInFlight reports whether a dispatched attempt has not ended.
func (c *call) attemptInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.InFlight()
}

// triedTargets returns the targets of earlier attempts.
func (c *call) triedTargets() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) == 0 {
		return nil
	}
	return lo.Map(c.attempts, func(t *upstreamAttempt, _ int) netip.AddrPort { return t.picked.Target() })
}

func (c *call) attempt(number int) *upstreamAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := lo.Find(c.attempts, func(t *upstreamAttempt) bool { return t.number == number })
	if !ok {
		panic("proxy: attempt is not known")
	}
	return t
}

// abandon cancels every attempt except keep; 0 keeps none. The goroutine that
// runs an attempt ends it.
func (c *call) abandon(keep int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.attempts {
		if t.number == keep {
			continue
		}
		if t.stopDial != nil {
			t.stopDial()
		}
		if t.x != nil {
			t.x.Cancel()
		}
	}
}

// closeUnused closes the attempts whose responses were not forwarded.
func (c *call) closeUnused() {
	c.mu.Lock()
	attempts := c.attempts
	c.mu.Unlock()
	for _, t := range attempts {
		c.mu.Lock()
		ready := t.responseReady
		c.mu.Unlock()
		if ready && !t.done {
			t.x.Close()
			c.endAttempt(t, t.verdict())
		}
	}
}

// endAttempt reports the end of an attempt to the balancer, once.
func (c *call) endAttempt(t *upstreamAttempt, v lb.Verdict) {
	if t.done {
		return
	}
	t.done = true
	t.feedback.Verdict = v
	t.picked.Done(c.now(), t.feedback)
	c.recordLatency(t)
	c.server.metrics.countAttempt(c.match.Pool.Name, v)
}
