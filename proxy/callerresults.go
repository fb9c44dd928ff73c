package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// callerResult is what a caller got for one request, as the label of a metric.
type callerResult string

const (
	inTime  callerResult = "in_time"
	late    callerResult = "late"
	refused callerResult = "refused"
	failed  callerResult = "failed"
)

func newCallerResults() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chestnut_caller_results_total",
		Help: "Requests by what their callers got. The latency objective counts from a caller's first request, as far as the time that it still waits tells; request is first or repeated.",
	}, []string{"route", "request", "result"})
}

// recordWait estimates how long the caller had waited before this request.
func (c *call) recordWait() {
	if p := c.server.opts.Patience; p != nil && c.in.deadline > 0 {
		c.waited = p.Arrived(c.received, c.match.Route.Name, c.in.deadline)
	}
}

// recordCallerResult counts what the caller got after the given time.
func (c *call) recordCallerResult(end attempt.End, total time.Duration) {
	result := c.callerResult(end, total)
	if p := c.server.opts.Patience; p != nil && result == refused {
		p.Refused(c.now(), c.match.Route.Name)
	}
	request := "first"
	if c.waited > 0 {
		request = "repeated"
	}
	c.server.metrics.callerResults.WithLabelValues(c.match.Route.Name, request, string(result)).Inc()
}

func (c *call) callerResult(end attempt.End, total time.Duration) callerResult {
	objective := c.match.Route.Objective
	switch {
	case end.Outcome == outcome.NotRun:
		return refused
	case end.Reason != 0 || end.Outcome != outcome.Ran:
		return failed
	case objective <= 0 || c.waited+total <= objective:
		return inTime
	default:
		return late
	}
}
