package proxy

import (
	"cmp"
	"time"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// quotaWaitShare is the part of a request's latency objective, or of the time that
// it has left if it has none, for which it may wait for a token of its
// workspace's quota: enough to even out bursts, and little enough that the
// request can still be in time.
const quotaWaitShare = 0.25

// takeQuota takes the request's token of its workspace's quota. It returns the
// reply to a request for which there is none. A request that another host handed
// over has taken its token there.
func (c *call) takeQuota() *localReply {
	quota, w := c.server.opts.Quota, c.in.access.workspace
	if quota == nil || w == nil || w.RatePerSecond <= 0 || c.server.opts.PeerServer != nil {
		return nil
	}
	began := c.now()
	permit, refusal := quota.Take(c.stop.waiting, lb.QuotaQuery{
		Workspace: *w, MaxWait: c.maxQuotaWait(began), Deadline: c.answerBy(), RequestID: c.in.requestID,
	})
	c.addWait(began)
	if refusal == nil {
		c.quotaPermit = permit
		return nil
	}
	refusal = c.stopRefusalOr(refusal)
	reason := cmp.Or(refusal.Reason, outcome.QuotaExceeded)
	act := c.step(attempt.Event{Kind: attempt.Refused, Reason: reason})
	end := act.End
	if act.Kind != attempt.Finish {
		end = c.end()
	}
	p := newLocalReply(end.Reason, end.Outcome, endDetails[end.Reason])
	p.retryAfter = cmp.Or(refusal.RetryAfter, minRetryAfter)
	c.setRetryAfter(p.retryAfter)
	return p
}

// maxQuotaWait returns how long the request may wait for a token.
func (c *call) maxQuotaWait(now time.Time) time.Duration {
	left := max(c.deadline.Sub(now), 0)
	if objective := c.match.Route.Objective; objective > 0 {
		return min(time.Duration(float64(objective)*quotaWaitShare), left)
	}
	return time.Duration(float64(left) * quotaWaitShare)
}

// returnQuota gives the token of a request that certainly did not run back.
func (c *call) returnQuota(o outcome.Outcome) {
	if c.quotaPermit != nil && o == outcome.NotRun {
		c.quotaPermit.Return()
	}
}
