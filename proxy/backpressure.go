package proxy

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// malformedLogInterval is the time between two log lines about malformed headers
// of targets.
const malformedLogInterval = 10 * time.Second

// observeSignal tells the balancer what a response says about the requests that
// its target takes. Only a response to a request that ran shows that there is no
// rate limit: what sits in front of a target may answer a refusal in its place.
// Another target's response says nothing.
func (c *call) observeSignal(t *upstreamAttempt, x *upstream.Exchange) {
	observed, ok := t.picked.(lb.ObservedAttempt)
	if !ok || t.feedback.WrongTarget {
		return
	}
	s, err := c.server.names.Signal(t.status, x.HeaderValues)
	if err != nil {
		c.server.metrics.malformedSignals.Inc()
		c.server.malformedLog.Do(func() {
			c.server.opts.Logger.Warn("header with which a target asks for fewer requests is ignored", zap.String("request", c.in.requestID),
				zap.String("target", identityOf(t.picked)), zap.Error(err))
		})
	}
	s.HeardAt = c.now()
	if s.Limited || err == nil && !t.notRun && t.status < fasthttp.StatusInternalServerError {
		s.SentAt = t.started
	}
	observed.Observe(s)
}
