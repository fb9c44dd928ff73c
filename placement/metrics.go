package placement

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// metrics count questions, placed requests and refusals.
type metrics struct {
	questions *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	waits     *prometheus.HistogramVec
}

// waitBuckets reach from one question to the longest usual deadline.
var waitBuckets = prometheus.ExponentialBuckets(0.001, 2, 13)

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		questions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_load_questions_total",
			Help: "Targets asked for their load before a request was placed, by result.",
		}, []string{"result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_placement_refusals_total",
			Help: "Requests that no target could serve, by pool and reason.",
		}, []string{"pool", "reason"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "chestnut_placement_wait_seconds",
			Help:    "Time from a request's arrival until its target was chosen.",
			Buckets: waitBuckets,
		}, []string{"pool"}),
	}
	return m, metric.Register(r, "placement", m.questions, m.refusals, m.waits)
}

func (m *metrics) asked(err error) {
	m.questions.WithLabelValues(lo.Ternary(err == nil, "answered", "failed")).Inc()
}

func (m *metrics) placed(pool string, after time.Duration) {
	m.waits.WithLabelValues(pool).Observe(after.Seconds())
}

func (m *metrics) refused(pool string, reason outcome.Reason) {
	m.refusals.WithLabelValues(pool, reason.String()).Inc()
}
