package proxy

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// hedgeActions is the number of ends that a hedge can have.
const hedgeActions = 1

// try is one attempt as the driver holds it. The goroutine that runs it owns
// it until its answer is forwarded.
type try struct {
	ctx     context.Context
	number  int
	attempt ports.Attempt
	// x and answered are guarded by the call's mutex. From answered on the
	// attempt belongs to the goroutine of the request.
	x        *upstream.Exchange
	answered bool
	// stopDial ends the opening of a connection; nil where nothing else is
	// under way meanwhile.
	stopDial context.CancelFunc
	started  time.Time
	// held is the answer's body when it is held whole.
	held   []byte
	status int
	notRun bool
	// sentWhole is true when a streamed request was sent to its end.
	sentWhole bool
	// err is why the attempt failed, nil when it did not.
	err      error
	feedback ports.Feedback
	done     bool
}

// run drives the machine until the request has an answer.
func (c *call) run() {
	act := c.step(attempt.Event{Kind: attempt.Admitted})
	c.armHedge()
	for {
		switch act.Kind {
		case attempt.Pick:
			act = c.pick(act)
		case attempt.Dispatch:
			act = c.exchange(c.try(act.Attempt))
		case attempt.Forward:
			c.forward(act.Attempt)
			return
		case attempt.Finish:
			c.finish(act.End)
			return
		default:
			act = c.await()
		}
	}
}

// await waits for the hedge when this goroutine has nothing left to do.
func (c *call) await() attempt.Action {
	c.mu.Lock()
	end, ended := c.machine.Ended()
	c.mu.Unlock()
	if ended {
		return attempt.Action{Kind: attempt.Finish, End: end}
	}
	if c.actions == nil {
		panic("proxy: request has neither an attempt nor an end")
	}
	return c.awaitHedged()
}

// awaitHedged waits for what the hedge leads to.
func (c *call) awaitHedged() attempt.Action {
	select {
	case act := <-c.actions:
		return act
	case <-c.ctx.Done():
		return c.step(attempt.Event{Kind: attempt.Expired})
	}
}

// armHedge lets a second copy start when the first has waited long enough.
func (c *call) armHedge() {
	if c.actions == nil {
		return
	}
	c.server.attempts.Add(1)
	c.hedge = c.server.opts.Clock.AfterFunc(c.hedgeAfter(), func() {
		defer c.server.attempts.Done()
		c.runHedge()
	})
}

// disarmHedge keeps a hedge that has not started from starting.
func (c *call) disarmHedge() {
	if c.hedge != nil && c.hedge.Stop() {
		c.server.attempts.Done()
	}
}

// runHedge makes the second copy, and whatever follows it, beside the
// goroutine of the request, which it wakes when there is an end.
func (c *call) runHedge() {
	act := c.step(attempt.Event{Kind: attempt.HedgeDue})
	for {
		switch act.Kind {
		case attempt.Pick:
			act = c.pick(act)
		case attempt.Dispatch:
			act = c.exchange(c.try(act.Attempt))
		case attempt.Forward, attempt.Finish:
			c.actions <- act
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
	if !c.mayMake(act, pool, now) {
		return c.step(none)
	}
	a, refusal := c.choose(act, pool, now)
	if refusal != nil {
		none.Reason = refusal.Reason
		c.noteRetryAfter(refusal.RetryAfter)
		return c.step(none)
	}
	t := &try{number: act.Attempt, attempt: a, ctx: c.ctx}
	if c.actions != nil {
		t.ctx, t.stopDial = context.WithCancel(c.ctx)
	}
	c.mu.Lock()
	c.tries = append(c.tries, t)
	c.mu.Unlock()
	next := c.step(attempt.Event{Kind: attempt.Picked, Attempt: act.Attempt})
	if next.Kind != attempt.Dispatch {
		c.done(t, ports.Abandoned)
	}
	return next
}

// choose asks for a target, and waits for one where the balancer can.
func (c *call) choose(act attempt.Action, pool string, now time.Time) (ports.Attempt, *ports.Refusal) {
	if placer, ok := c.server.opts.Balancer.(ports.Placer); ok {
		began := c.now()
		defer c.waitedFor(began)
		return placer.Place(c.ctx, ports.PlaceQuery{
			Pool: pool, Route: c.match.Route, Received: c.received, Deadline: c.deadline,
			Exclude: c.tried(), Further: act.NeedsBudget, Beside: c.underWay(), RequestID: c.in.id,
		})
	}
	q := ports.PickQuery{Pool: pool, Class: c.match.Route.Class, Now: now, Exclude: c.tried()}
	a, ok := c.server.opts.Balancer.Pick(q)
	if !ok && c.lastWasStale() {
		q.Exclude = nil
		a, ok = c.server.opts.Balancer.Pick(q)
	}
	if !ok {
		return nil, &ports.Refusal{Reason: outcome.NoTarget}
	}
	return a, nil
}

func (c *call) noteRetryAfter(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryAfter = d
}

// mayMake asks the retry budget about an attempt. Without a budget, nothing
// follows an attempt that may have run.
func (c *call) mayMake(act attempt.Action, pool string, now time.Time) bool {
	budget := c.server.opts.Retries
	switch {
	case budget == nil:
		return !act.NeedsBudget || c.end().Outcome == outcome.NotRun
	case act.NeedsBudget && c.ownerUnreached():
		// The budget bounds the load on targets; this attempt put none there.
		return true
	case act.NeedsBudget:
		return budget.Withdraw(pool, now)
	default:
		budget.Deposit(pool, now)
		return true
	}
}

// ownerUnreached says that the last attempt ended before its owner had it.
func (c *call) ownerUnreached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreached
}

// lastWasStale says that the last attempt was lost on a kept connection, so
// that its target may be tried again.
func (c *call) lastWasStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stale
}

// underWay says that an attempt was made that has not ended.
func (c *call) underWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.InFlight()
}

// tried lists the targets of earlier attempts.
func (c *call) tried() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tries) == 0 {
		return nil
	}
	return lo.Map(c.tries, func(t *try, _ int) netip.AddrPort { return t.attempt.Target() })
}

func (c *call) try(number int) *try {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := lo.Find(c.tries, func(t *try) bool { return t.number == number })
	if !ok {
		panic("proxy: attempt is not known")
	}
	return t
}

// abandon cancels every attempt but the one that is kept; 0 keeps none. Each
// is ended by the goroutine that runs it.
func (c *call) abandon(keep int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.tries {
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

// release closes the attempts that answered and were not forwarded.
func (c *call) release() {
	c.mu.Lock()
	tries := c.tries
	c.mu.Unlock()
	for _, t := range tries {
		c.mu.Lock()
		mine := t.answered
		c.mu.Unlock()
		if mine && !t.done {
			t.x.Close()
			c.done(t, t.verdict())
		}
	}
}

// done ends an attempt towards the balancer, once.
func (c *call) done(t *try, v ports.Verdict) {
	if t.done {
		return
	}
	t.done = true
	t.feedback.Verdict = v
	t.attempt.Done(c.now(), t.feedback)
	c.server.metrics.attempted(c.match.Pool.Name, v)
}
