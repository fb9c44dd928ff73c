package proxy

import (
	"time"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
)

const (
	// maxSilence is how long an attempt may be without a response before its target
	// is checked; silenceShare bounds it to a part of the time that is left.
	maxSilence   = time.Second
	silenceShare = 0.5
)

// quarantined returns the event for an attempt of a request that ends targets; false
// for all other requests.
func (c *call) quarantined(act attempt.Action) (attempt.Event, bool) {
	guard := c.server.opts.Guard
	if guard == nil || !guard.Active() {
		return attempt.Event{}, false
	}
	retryAfter, refused := guard.Check(c.contentHash(), c.in.requestID)
	if !refused {
		return attempt.Event{}, false
	}
	c.setRetryAfter(retryAfter)
	return attempt.Event{Kind: attempt.NoTarget, Attempt: act.Attempt, Reason: outcome.Quarantined}, true
}

// watchSilence has the target of an attempt checked if there is no response for
// long. stop ends the watch.
func (c *call) watchSilence(t *upstreamAttempt) (stop func()) {
	if c.server.opts.Guard == nil {
		return func() {}
	}
	silence := min(maxSilence, time.Duration(silenceShare*float64(c.deadline.Sub(c.now()))))
	timer := c.server.opts.Clock.AfterFunc(silence, func() { c.reportLost(t) })
	return func() { timer.Stop() }
}

// reportLost tells the guard that an attempt got no complete response from its
// target. The other host that a request was handed over to reports its own.
func (c *call) reportLost(t *upstreamAttempt) {
	if _, peer := groupOf(t.picked); peer || c.server.opts.Guard == nil {
		return
	}
	c.server.opts.Guard.Lost(c.contentHash(), c.match.Pool.Name, t.picked)
}

// reportAnswered tells the guard that the target of an attempt responded completely.
func (c *call) reportAnswered(t *upstreamAttempt) {
	guard := c.server.opts.Guard
	if guard == nil || !guard.Active() || t.notRun || t.feedback.WrongTarget || !t.bodyComplete {
		return
	}
	guard.Answered(c.contentHash())
}
