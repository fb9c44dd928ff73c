package handoff

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts handoffs, direct dispatches and their failures.
type metrics struct {
	handedOff   prometheus.Counter
	direct      prometheus.Counter
	unreachable prometheus.Counter
	badReports  prometheus.Counter
}

func newMetrics(r prometheus.Registerer) metrics {
	f := promauto.With(r)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{
			Namespace: "chestnut", Subsystem: "handoff", Name: name, Help: help,
		})
	}
	return metrics{
		handedOff:   counter("requests_total", "Attempts handed to the owner of a group."),
		direct:      counter("direct_total", "Attempts dispatched directly for want of an owner."),
		unreachable: counter("unreachable_total", "Attempts whose owner could not be reached."),
		badReports:  counter("bad_reports_total", "Group load reports that were refused."),
	}
}
