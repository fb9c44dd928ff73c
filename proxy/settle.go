package proxy

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

// close ends the call once: what was taken is given back, the order is
// settled, and the request is counted.
func (c *call) close(end attempt.End, recorded *ports.RecordedAnswer) {
	c.once.Do(func() {
		c.conn.end()
		c.disarmHedge()
		c.abandon(0)
		c.release()
		if c.permit != nil {
			c.permit.Release(c.now(), c.lastResult())
		}
		if c.claim != nil {
			ctx, cancel := context.WithTimeout(context.Background(), c.server.limits.SettleTimeout)
			c.server.opts.Ledger.Settle(ctx, c.claim.key, c.claim.token, end.Outcome, recorded)
			cancel()
		}
		c.cancel()
		c.ended(end)
	})
}

// ended counts and logs the end of the call.
func (c *call) ended(end attempt.End) {
	total := c.now().Sub(c.received)
	c.server.metrics.ended(c, end.Outcome, end.Reason, total)
	c.logEnd(end, total)
}

// lastResult is how the last attempt ended; a call without one says nothing
// about targets.
func (c *call) lastResult() ports.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.result.Verdict == 0 {
		return ports.Result{Verdict: ports.Abandoned}
	}
	return c.result
}

// refuse ends the call with an answer of the host's own.
func (c *call) refuse(p *problem) {
	c.close(attempt.End{Outcome: p.outcome, Reason: p.reason}, nil)
	c.answer(p)
}

// answer writes p, unless the answer was written already.
func (c *call) answer(p *problem) {
	if p.written {
		return
	}
	if p.closes {
		c.conn.lingering.Store(true)
	}
	answerProblem(c.rc, p, c.server.names)
	c.markPeerAnswer(p.outcome.String())
}

// finish answers a call that the machine ended.
func (c *call) finish(end attempt.End) {
	if c.refusal != nil {
		c.refusal.outcome = end.Outcome
		c.refuse(c.refusal)
		return
	}
	p := newProblem(end.Reason, end.Outcome, endDetails[end.Reason])
	p.closes = !c.body.whole()
	p.retryAfter = c.retryAfter
	c.refuse(p)
}

var endDetails = map[outcome.Reason]string{
	outcome.NoTarget:        "no target could take the request",
	outcome.LimitReached:    "connection limit of the targets is reached",
	outcome.DeadlinePassed:  "deadline passed before dispatch",
	outcome.UpstreamLost:    "upstream connection was lost",
	outcome.UpstreamTimeout: "upstream did not answer in time",
	outcome.CallerGone:      "caller closed its connection",
}

// replay answers a second copy of an order that ran.
func (c *call) replay(claim ports.Claim) *problem {
	if claim.Answer == nil {
		return newProblem(outcome.KeyInFlight, outcome.Ran, "the order ran and its answer was not kept")
	}
	resp := &c.rc.Response
	resp.SetStatusCode(claim.Answer.Status)
	for _, line := range claim.Answer.Header {
		resp.Header.Add(line[0], line[1])
	}
	resp.SetBody(claim.Answer.Body)
	return &problem{outcome: outcome.Ran, written: true}
}

// record keeps a held answer with its order, when it is small enough.
func (c *call) record(t *try) *ports.RecordedAnswer {
	if c.claim == nil || len(t.held) > c.server.limits.RecordBytes {
		return nil
	}
	h := t.x.Header()
	answer := &ports.RecordedAnswer{Status: h.StatusCode(), Body: append([]byte(nil), t.held...)}
	for name, value := range h.All() {
		if answerHop(name) || kindOf(name) == lineLength || kindOf(name) == lineCoding || isDate(name) {
			continue
		}
		answer.Header = append(answer.Header, [2]string{string(name), string(value)})
	}
	return answer
}

func isDate(name []byte) bool {
	return len(name) == len(fasthttp.HeaderDate) && name[0]|0x20 == 'd' && string(name[1:]) == "ate"
}
