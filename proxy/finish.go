package proxy

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/shutdown"
)

// close ends the call, once: it releases the permit and the attempts, records
// the outcome in the ledger, and counts the request.
func (c *call) close(end attempt.End, recorded *lb.RecordedResponse) {
	c.closeOnce.Do(func() {
		c.conn.end()
		c.leaveService()
		c.stopHedgeTimer()
		c.abandon(0)
		c.closeUnused()
		if c.permit != nil {
			c.permit.Release(c.now(), c.lastResult())
		}
		c.returnQuota(end.Outcome)
		if c.claim != nil {
			ctx, cancel := context.WithTimeout(context.Background(), c.server.limits.RecordOutcomeTimeout)
			c.server.opts.Ledger.RecordOutcome(ctx, c.claim.key, c.claim.token, end.Outcome, recorded)
			cancel()
		}
		c.cancel()
		c.recordEnd(end)
	})
}

// recordEnd counts and logs the end of the call.
func (c *call) recordEnd(end attempt.End) {
	total := c.now().Sub(c.received)
	c.server.metrics.countRequest(c, end.Outcome, end.Reason, total)
	c.recordCallerResult(end, total)
	c.logEnd(end, total)
}

// lastResult returns how the last attempt ended; Abandoned, which says nothing
// about targets, for a call without attempts.
func (c *call) lastResult() lb.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.result.Verdict == 0 {
		return lb.Result{Verdict: lb.Abandoned}
	}
	return c.result
}

// refuse ends the call with a local reply.
func (c *call) refuse(p *localReply) {
	c.close(attempt.End{Outcome: p.outcome, Reason: p.reason}, nil)
	c.reply(p)
}

// reply writes p, unless the response was already written.
func (c *call) reply(p *localReply) {
	if p.alreadyWritten {
		return
	}
	if p.closesConnection {
		c.conn.lingerOnClose.Store(true)
	}
	writeLocalReply(c.rc, p, c.server.names)
	c.setPeerHeaders(c.handoverOf(p))
}

// finish answers a call that the state machine ended.
func (c *call) finish(end attempt.End) {
	if c.overrideReply != nil {
		c.refuse(c.overrideReply.afterDispatch(end.Outcome))
		return
	}
	if end.Reason == outcome.Stopping {
		c.setRetryAfter(shutdown.RetryAfter())
	}
	p := newLocalReply(end.Reason, end.Outcome, endDetails[end.Reason])
	p.closesConnection = !c.body.replayable()
	p.retryAfter = c.retryAfter
	c.refuse(p)
}

// endDetails holds the details of local replies, by the reason with which the
// state machine ended the call.
var endDetails = map[outcome.Reason]string{
	outcome.NoTarget:        "no target could take the request",
	outcome.LimitReached:    "connection limit of the targets is reached",
	outcome.RateLimited:     "targets take no more requests a second",
	outcome.Quarantined:     "targets ended under requests with the same content",
	outcome.DeadlinePassed:  "deadline passed before dispatch",
	outcome.UpstreamLost:    "upstream connection was lost",
	outcome.UpstreamTimeout: "upstream did not answer in time",
	outcome.CallerGone:      "caller closed its connection",
	outcome.UnknownKey:      "API key was withdrawn while the request waited",
	outcome.QuotaExceeded:   "quota of the workspace is used up",
	outcome.NotConfigured:   "another configuration came into force",
	outcome.Stopping:        "host is stopping and the request would not have ended before",
	outcome.Interrupted:     "host stopped before the upstream answered",
	outcome.UpstreamFailed:  "upstream failed a request that it may have run",
}

// replay writes the recorded response of an order that has run, in answer to a
// repeated request.
func (c *call) replay(claim lb.Claim) *localReply {
	if claim.Response == nil || !c.mayReplay(claim.Response) {
		return newLocalReply(outcome.KeyInFlight, outcome.Ran, "the order ran and its answer was not kept")
	}
	resp := &c.rc.Response
	resp.SetStatusCode(claim.Response.Status)
	for _, line := range claim.Response.Header {
		resp.Header.Add(line[0], line[1])
	}
	resp.SetBody(claim.Response.Body)
	return &localReply{outcome: outcome.Ran, alreadyWritten: true}
}

// mayReplay reports whether a recorded response is one, and does not promise that its
// order has not run: hosts of other versions have recorded it.
func (c *call) mayReplay(r *lb.RecordedResponse) bool {
	if c.server.names.StatusPromises && outcome.PromisesNotRun(r.Status) {
		return false
	}
	var malformed *http1.Error
	if err := http1.CheckRecorded(r.Status, r.Header); errors.As(err, &malformed) {
		c.server.opts.Responses.Record(http1.Recorded, "order of caller "+c.ledgerCaller(), malformed)
		return false
	}
	return true
}

// recordResponse returns the buffered response to record with the order, or
// nil when there is no claim or the response is too large.
func (c *call) recordResponse(t *upstreamAttempt) *lb.RecordedResponse {
	if c.claim == nil || len(t.bufferedBody) > c.server.limits.RecordedResponseBytes {
		return nil
	}
	h := t.x.Header()
	recorded := &lb.RecordedResponse{Status: h.StatusCode(), Body: append([]byte(nil), t.bufferedBody...)}
	for name, value := range h.All() {
		if strippedFromResponse(name) || kindOf(name) == lineContentLength || kindOf(name) == lineTransferEncoding || isDate(name) {
			continue
		}
		recorded.Header = append(recorded.Header, [2]string{string(name), string(value)})
	}
	return recorded
}

func isDate(name []byte) bool {
	return len(name) == len(fasthttp.HeaderDate) && name[0]|0x20 == 'd' && string(name[1:]) == "ate"
}
