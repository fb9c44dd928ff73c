package proxy

import (
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
)

// observeRateLimit tells the balancer whether a response names a rate limit of
// its target. Only a response to a request that ran shows that there is none:
// what sits in front of a target may answer a refusal in its place. Another
// target's response says nothing.
func (c *call) observeRateLimit(t *upstreamAttempt, h *fasthttp.ResponseHeader) {
	observed, ok := t.picked.(lb.ObservedAttempt)
	if !ok || c.server.names.RateLimit == "" || t.feedback.WrongTarget {
		return
	}
	o := backpressure.Observation{SentAt: t.started, HeardAt: c.now()}
	switch values := headerValues(h, c.server.names.RateLimit); {
	case len(values) == 0 && (t.notRun || t.status >= fasthttp.StatusInternalServerError):
		return
	case len(values) > 0:
		rate, err := backpressure.ParseRates(values)
		if err != nil {
			c.server.metrics.malformedRateLimits.Inc()
			c.server.malformedLog.Do(func() {
				c.server.opts.Logger.Warn("rate limit in a response is malformed; it is ignored", zap.String("request", c.in.requestID),
					zap.String("target", identityOf(t.picked)), zap.Error(err))
			})
			return
		}
		o.Limited, o.PerSecond = true, rate
	}
	observed.Observe(o)
}

// headerValues returns all values of a header, whatever the case of its name.
func headerValues(h *fasthttp.ResponseHeader, name string) (values []string) {
	for n, v := range h.All() {
		if equalName(n, name) {
			values = append(values, string(v))
		}
	}
	return values
}
