package proxy

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// hedgeActions is more than two attempts can lead to.
const hedgeActions = 8

// try is one attempt as the driver holds it. The goroutine that runs it owns
// it until its answer is forwarded.
type try struct {
	number  int
	attempt ports.Attempt
	// x and answered are guarded by the call's mutex. From answered on the
	// attempt belongs to the goroutine of the request.
	x        *upstream.Exchange
	answered bool
	started  time.Time
	// held is the answer's body when it is held whole.
	held   []byte
	status int
	notRun bool
	// sentWhole is true when a streamed request was sent to its end.
	sentWhole bool
	feedback  ports.Feedback
	done      bool
}

// run drives the machine until the request has an answer.
func (c *call) run() {
	act := c.step(attempt.Event{Kind: attempt.Admitted})
	for {
		switch act.Kind {
		case attempt.Pick:
			act = c.pick(act)
		case attempt.Dispatch:
			act = c.dispatch(act.Attempt)
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

// await waits for the attempts that run on goroutines of their own.
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

func (c *call) awaitHedged() attempt.Action {
	var hedge <-chan time.Time
	if c.mayHedge() {
		timer := c.server.opts.Clock.NewTimer(c.match.Route.HedgeAfter)
		defer timer.Stop()
		hedge = timer.Chan()
	}
	select {
	case act := <-c.actions:
		return act
	case <-hedge:
		return c.step(attempt.Event{Kind: attempt.HedgeDue})
	case <-c.ctx.Done():
		return c.step(attempt.Event{Kind: attempt.Expired})
	}
}

// mayHedge is true once, while the first attempt is the only one.
func (c *call) mayHedge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	may := !c.hedgeArmed && len(c.tries) == 1
	c.hedgeArmed = true
	return may
}

// pick chooses the target of an attempt.
func (c *call) pick(act attempt.Action) attempt.Action {
	now, pool := c.now(), c.match.Pool.Name
	none := attempt.Event{Kind: attempt.NoTarget, Attempt: act.Attempt, Reason: outcome.NoTarget}
	if !c.mayMake(act, pool, now) {
		return c.step(none)
	}
	q := ports.PickQuery{Pool: pool, Class: c.match.Route.Class, Now: now, Exclude: c.tried()}
	a, ok := c.server.opts.Balancer.Pick(q)
	if !ok && c.lastWasStale() {
		q.Exclude = nil
		a, ok = c.server.opts.Balancer.Pick(q)
	}
	if !ok {
		return c.step(none)
	}
	t := &try{number: act.Attempt, attempt: a}
	c.mu.Lock()
	c.tries = append(c.tries, t)
	c.mu.Unlock()
	next := c.step(attempt.Event{Kind: attempt.Picked, Attempt: act.Attempt})
	if next.Kind != attempt.Dispatch {
		c.done(t, ports.Abandoned)
	}
	return next
}

// mayMake asks the retry budget about an attempt. Without a budget, nothing
// follows an attempt that may have run.
func (c *call) mayMake(act attempt.Action, pool string, now time.Time) bool {
	budget := c.server.opts.Retries
	switch {
	case budget == nil:
		return !act.Budgeted || c.end().Outcome == outcome.NotRun
	case act.Budgeted:
		return budget.Withdraw(pool, now)
	default:
		budget.Deposit(pool, now)
		return true
	}
}

// lastWasStale says that the last attempt was lost on a kept connection, so
// that its target may be tried again.
func (c *call) lastWasStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stale
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

// dispatch runs an attempt, on a goroutine of its own when it may be hedged.
func (c *call) dispatch(number int) attempt.Action {
	t := c.try(number)
	if c.actions == nil {
		return c.exchange(t)
	}
	c.server.attempts.Add(1)
	go func() {
		defer c.server.attempts.Done()
		if act := c.exchange(t); act.Kind != attempt.Wait && act.Kind != attempt.Abandon {
			c.actions <- act
		}
	}()
	return attempt.Action{Kind: attempt.Wait}
}

// abandon cancels every attempt but the one that is kept; 0 keeps none. Each
// is ended by the goroutine that runs it.
func (c *call) abandon(keep int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.tries {
		if t.number != keep && t.x != nil {
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
