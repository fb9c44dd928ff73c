package balance

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/internal/metric"
)

type metrics struct {
	noTarget  *prometheus.CounterVec
	drains    prometheus.Counter
	attempts  *prometheus.CounterVec
	ejections *prometheus.CounterVec
	// warmups counts the warm-ups that probes reported, permitRefusals the requests
	// refused because all usable targets were cold.
	warmups        prometheus.Counter
	permitRefusals *prometheus.CounterVec
	// rejectionReports counts reports that targets reject all requests.
	rejectionReports *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, b *Balancer) (*metrics, error) {
	m := &metrics{
		noTarget: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_balance_no_target_total",
			Help: "Requests for which the pool had no target that may take new work.",
		}, []string{"pool"}),
		drains: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chestnut_balance_drains_learned_total",
			Help: "Leaving targets that this host learned of from an answer first.",
		}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_balance_attempts_total",
			Help: "Attempts by pool and verdict.",
		}, []string{"pool", "verdict"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_balance_set_aside_total",
			Help: "Times a target was set aside for failures or latency, by pool.",
		}, []string{"pool"}),
		warmups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chestnut_balance_warmups_total",
			Help: "Warm-ups of targets that probes of this host reported, extensions included.",
		}),
		permitRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_balance_rate_limited_total",
			Help: "Requests refused because each target that may serve them is cold and takes no more, by pool.",
		}, []string{"pool"}),
		rejectionReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_balance_rejection_reports_total",
			Help: "Reports that a target rejects all requests: made by this host, received, refuted before anybody acted on it, and ended as the target returned.",
		}, []string{"event"}),
	}
	if err := metric.Register(reg, "balance", m.noTarget, m.drains, m.attempts, m.ejections, m.warmups, m.permitRefusals, m.rejectionReports, limitCollector{b}); err != nil {
		return nil, err
	}
	return m, nil
}
