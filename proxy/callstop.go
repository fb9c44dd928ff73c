package proxy

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/shutdown"
)

// callStop is what a planned stop of the host means for one call.
type callStop struct {
	// waiting ends when the request may not wait for a target any longer; it ends with
	// the call's context at the latest.
	waiting    context.Context
	endWaiting context.CancelFunc

	// The call's mutex guards the fields below. receiving is true while the body is
	// received before a target is chosen; arrived is when the request had arrived
	// completely, zero before and for a body that is streamed.
	receiving bool
	arrived   time.Time
	// timer ends waiting; ended is true once the call is over.
	timer clockwork.Timer
	ended bool
}

// enterService makes a planned stop apply to the call.
func (c *call) enterService() {
	c.stop.waiting, c.stop.endWaiting = context.WithCancel(c.ctx)
	c.stop.receiving = c.in.length != 0
	c.stop.arrived = c.received
	c.conn.serving.Store(c)
	c.applySchedule()
}

// leaveService ends what enterService began.
func (c *call) leaveService() {
	c.conn.serving.CompareAndSwap(c, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop.ended = true
	if c.stop.timer != nil {
		c.stop.timer.Stop()
	}
	c.stop.endWaiting()
}

// applySchedule sets when the request may not wait for a target any longer. It does
// nothing while no stop has begun.
func (c *call) applySchedule() {
	s := c.server.schedule.Load()
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stop.ended {
		return
	}
	if c.stop.timer != nil {
		c.stop.timer.Stop()
	}
	if latest := c.latestDispatch(s); latest.Before(c.deadline) {
		c.stop.timer = c.server.opts.Clock.AfterFunc(latest.Sub(c.now()), c.endWaitIfDue)
	}
}

// endWaitIfDue ends the wait unless the estimate of the request's duration has fallen
// meanwhile.
func (c *call) endWaitIfDue() {
	c.mu.Lock()
	due := !c.now().Before(c.latestDispatch(c.server.schedule.Load()))
	c.mu.Unlock()
	if due {
		c.endWait()
	} else {
		c.applySchedule()
	}
}

// latestDispatch returns until when the request may be passed on. The caller holds the
// call's mutex.
func (c *call) latestDispatch(s *shutdown.Schedule) time.Time {
	if c.stop.receiving {
		return s.LatestArrival(c.deadline)
	}
	return s.LatestDispatch(shutdown.Request{
		Arrived: c.stop.arrived, Deadline: c.deadline, Repeatable: c.match.Route.Idempotent,
		Estimate: c.server.durations.Estimate(c.kind()),
	})
}

// kind returns the kind of requests by whose durations that of this one is estimated.
func (c *call) kind() shutdown.Kind {
	r := c.match.Route
	return shutdown.Kind{Pool: c.match.Pool.Name, Class: string(r.Class), Repeatable: r.Idempotent, Objective: r.Objective}
}

// recordDuration records how long a request took that a target has served, or that it
// was still working on at the deadline.
func (c *call) recordDuration(t *upstreamAttempt) {
	if !t.started.IsZero() && !t.notRun {
		c.server.durations.Record(c.kind(), c.now().Sub(t.started))
	}
}

// answerBy returns the time by which the request has to be answered: its deadline or,
// during a planned stop, the cut if that is sooner.
func (c *call) answerBy() time.Time {
	if s := c.server.schedule.Load(); s != nil {
		return s.AnswerBy(c.deadline)
	}
	return c.deadline
}

// endWait ends every wait before the dispatch, so that the request is refused. It has
// no effect on one that was passed on.
func (c *call) endWait() {
	c.stop.endWaiting()
	c.mu.Lock()
	receiving := c.stop.receiving
	c.mu.Unlock()
	if receiving {
		c.stopReading()
	}
}

// requestArrived notes that the request has arrived, apart from a body that is streamed.
// It returns the reply to a request that arrived too late to be passed on.
func (c *call) requestArrived() *localReply {
	c.mu.Lock()
	if c.stop.receiving {
		c.stop.receiving, c.stop.arrived = false, c.now()
	}
	if !c.body.replayable() {
		c.stop.arrived = time.Time{}
	}
	c.mu.Unlock()
	c.applySchedule()
	if c.stopReason() == 0 {
		return nil
	}
	return c.stopReply(!c.body.replayable())
}

// stopReason returns outcome.Stopping when the request may not be passed on because the
// host stops, otherwise 0.
func (c *call) stopReason() outcome.Reason {
	s := c.server.schedule.Load()
	if s == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if latest := c.latestDispatch(s); c.waitEnded() || latest.Before(c.deadline) && !c.now().Before(latest) {
		return outcome.Stopping
	}
	return 0
}

// waitEnded reports whether the host's stop, not the end of the call, has ended the wait
// for a target.
func (c *call) waitEnded() bool {
	return c.server.schedule.Load() != nil && c.stop.waiting.Err() != nil && c.ctx.Err() == nil
}

// stopRefusalOr returns the refusal of a request whose wait the host's stop has ended,
// otherwise r.
func (c *call) stopRefusalOr(r *lb.Refusal) *lb.Refusal {
	if !c.waitEnded() {
		return r
	}
	return &lb.Refusal{Reason: outcome.Stopping, RetryAfter: shutdown.RetryAfter()}
}

// stopReplyOr returns the reply to a request whose body the host's stop has kept from
// being received, otherwise p.
func (c *call) stopReplyOr(p *localReply) *localReply {
	if !c.waitEnded() {
		return p
	}
	return c.stopReply(true)
}

// stopReply returns the reply to a request that is not passed on because the host stops.
// bodyUnread is true when the caller may still be sending its body.
func (c *call) stopReply(bodyUnread bool) *localReply {
	p := newLocalReply(outcome.Stopping, outcome.NotRun, endDetails[outcome.Stopping])
	p.retryAfter, p.closesConnection = shutdown.RetryAfter(), bodyUnread
	return p
}

// hostStopped ends the call unless its response is being forwarded; false when it goes
// on or had ended. A request that is still being received ends when its body can't be read
// any further.
func (c *call) hostStopped() bool {
	c.endWait()
	c.mu.Lock()
	received := c.machine != nil
	c.mu.Unlock()
	if !received {
		return true
	}
	if act := c.step(attempt.Event{Kind: attempt.HostStopped}); act.Kind != attempt.Finish {
		return false
	}
	c.cancel()
	c.abandon(0)
	return true
}
