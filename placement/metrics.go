package placement

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// metrics counts load queries, placed requests and refusals.
type metrics struct {
	loadQueries *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	waits       *prometheus.HistogramVec
	// observationChanges counts the changes of what targets ask for.
	observationChanges *prometheus.CounterVec
	// extraAttempts counts the copies of requests that were asked for under the
	// operator's limit.
	extraAttempts *prometheus.CounterVec
	// malformedSignals counts the responses to load queries of which a header was
	// ignored.
	malformedSignals prometheus.Counter
	// overServed counts the refusals of requests of workspaces that received more than
	// their part.
	overServed *prometheus.CounterVec
	// unfinishable counts the orders that were refused since no target was expected to
	// finish them.
	unfinishable *prometheus.CounterVec
}

// waitBuckets reach from the time of one load query (1 ms) to the longest usual
// deadline (4 s).
var waitBuckets = prometheus.ExponentialBuckets(0.001, 2, 13)

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		loadQueries: prometheus.NewCounterVec(prometheus.CounterOpts{
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
		extraAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_extra_attempts_total",
			Help: "Copies of idempotent requests that hosts asked for under the limit on extra attempts, by pool and what was decided.",
		}, []string{"pool", "result"}),
		malformedSignals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chestnut_load_query_malformed_headers_total",
			Help: "Responses to load queries with a malformed rate limit, Retry-After or rest of a warm-up, which was ignored.",
		}),
		overServed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_placement_over_served_refusals_total",
			Help: "Requests refused because their workspace had received more than its part and requests of others were waiting.",
		}, []string{"pool"}),
		unfinishable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_placement_unfinishable_orders_total",
			Help: "Orders and uploads refused because no target was expected to finish them before their deadline.",
		}, []string{"pool"}),
		observationChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_target_backpressure_changes_total",
			Help: "Changes of the rate limits of targets, longer warm-ups, and targets that said that they leave, by where this host learned of them.",
		}, []string{"source"}),
	}
	return m, metric.Register(r, "placement", m.loadQueries, m.refusals, m.waits, m.observationChanges, m.malformedSignals, m.extraAttempts, m.overServed, m.unfinishable)
}

// countObservation counts a change of what a target asks for, or a warm-up that lasts
// longer than was known, by the address of the host that reported it, "" for this one.
func (m *metrics) countObservation(from string) {
	m.observationChanges.WithLabelValues(lo.Ternary(from == "", "response", "host")).Inc()
}

func (m *metrics) countQuery(err error) {
	m.loadQueries.WithLabelValues(lo.Ternary(err == nil, "answered", "failed")).Inc()
}

func (m *metrics) observeWait(pool string, waited time.Duration) {
	m.waits.WithLabelValues(pool).Observe(waited.Seconds())
}

func (m *metrics) countRefusal(pool string, reason outcome.Reason) {
	m.refusals.WithLabelValues(pool, reason.String()).Inc()
}
