package placement

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/backpressure"
)

// rateLimitDesc describes the rate limits in force, by target and reason.
var rateLimitDesc = prometheus.NewDesc("chestnut_target_rate_limit",
	"Requests a second that a target takes from all hosts together, while it names a limit or is cold.", []string{"target", "reason"}, nil)

// rateLimitCollector exports the limits in force when they are read: a limit because
// of a warm-up ends without an event that could take it out of a gauge.
type rateLimitCollector struct{ balancer *Balancer }

// Describe implements prometheus.Collector.
func (rateLimitCollector) Describe(descs chan<- *prometheus.Desc) { descs <- rateLimitDesc }

// Collect implements prometheus.Collector. A target of several pools has the lowest of
// its limits there.
func (c rateLimitCollector) Collect(out chan<- prometheus.Metric) {
	lowest := map[string]backpressure.Limit{}
	for _, ps := range *c.balancer.pools.Load() {
		for _, p := range ps {
			for instance, limit := range p.limitsInForce(c.balancer.opts.Clock.Now()) {
				lowest[instance.ID] = backpressure.Lower(lowest[instance.ID], limit)
			}
		}
	}
	for id, limit := range lowest {
		out <- prometheus.MustNewConstMetric(rateLimitDesc, prometheus.GaugeValue, limit.PerSecond, id, limit.Reason.String())
	}
}
