package proxy

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

const (
	otherLabel     = "other"
	answeredReason = "answered"
)

// metrics holds the counters and histograms of the proxy.
type metrics struct {
	requests     *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	workspaces   *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	addedLatency *prometheus.HistogramVec
	// callerResults counts the requests by what their callers got.
	callerResults *prometheus.CounterVec
	// malformedSignals counts the responses of which a header was ignored.
	malformedSignals prometheus.Counter
	// uploadsStreamed counts the uploads whose body found no memory.
	uploadsStreamed prometheus.Counter

	callerLabels    *boundedLabels
	workspaceLabels *boundedLabels
}

var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)
var addedBuckets = prometheus.ExponentialBuckets(0.00005, 2, 14)

func newMetrics(reg prometheus.Registerer, l Limits) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_requests_total",
			Help: "Requests that matched a route, by how they ended.",
		}, []string{"route", "pool", "class", "outcome", "reason"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_refusals_total",
			Help: "Requests refused before a call began: malformed, without a route, or without a valid key.",
		}, []string{"reason"}),
		workspaces: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_workspace_requests_total",
			Help: "Requests that carried a key of a workspace and matched a route, by how they ended.",
		}, []string{"workspace", "outcome", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_attempts_total",
			Help: "Attempts at targets, by pool and verdict.",
		}, []string{"pool", "verdict"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "chestnut_request_seconds",
			Help:    "Time from a request's header to the end of its answer.",
			Buckets: latencyBuckets,
		}, []string{"caller", "class"}),
		addedLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "chestnut_added_seconds",
			Help:    "The part of chestnut_request_seconds not spent waiting for upstreams or for admission.",
			Buckets: addedBuckets,
		}, []string{"class"}),
		uploadsStreamed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chestnut_uploads_streamed_total",
			Help: "Uploads whose body was streamed to its target because the memory for bodies was used up or too small.",
		}),
		malformedSignals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chestnut_malformed_backpressure_headers_total",
			Help: "Responses of targets with a malformed rate limit or Retry-After, which was ignored.",
		}),
		callerResults:   newCallerResults(),
		callerLabels:    newBoundedLabels(l.MaxCallerLabels),
		workspaceLabels: newBoundedLabels(l.MaxWorkspaceLabels),
	}
	if err := metric.Register(reg, "proxy", m.requests, m.refusals, m.workspaces, m.attempts, m.latency, m.addedLatency, m.malformedSignals, m.uploadsStreamed, m.callerResults); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *metrics) countRefusal(p *localReply) { m.refusals.WithLabelValues(p.reason.String()).Inc() }

// countRequest counts the end of a request that matched a route.
func (m *metrics) countRequest(c *call, o outcome.Outcome, reason outcome.Reason, total time.Duration) {
	reasonLabel := answeredReason
	if reason != 0 {
		reasonLabel = reason.String()
	}
	route, class := c.match.Route, string(c.match.Route.Class)
	m.requests.WithLabelValues(route.Name, c.match.Pool.Name, class, o.String(), reasonLabel).Inc()
	if workspace := c.in.access.workspaceName(); workspace != "" {
		m.workspaces.WithLabelValues(m.workspaceLabels.label(workspace), o.String(), reasonLabel).Inc()
	}
	m.latency.WithLabelValues(m.callerLabels.label(c.in.caller), class).Observe(total.Seconds())
	if waited := c.totalWait(); waited > 0 && !c.streamed {
		m.addedLatency.WithLabelValues(class).Observe(max(0, total-waited).Seconds())
	}
}

func (c *call) totalWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitTime
}

// countAttempt counts an attempt.
func (m *metrics) countAttempt(pool string, v lb.Verdict) {
	m.attempts.WithLabelValues(pool, v.String()).Inc()
}

// boundedLabels gives the first limit names a metric label of their own and all
// others a common one, so that the number of time series is bounded.
type boundedLabels struct {
	limit int
	mu    sync.RWMutex
	names map[string]struct{}
}

func newBoundedLabels(limit int) *boundedLabels {
	return &boundedLabels{limit: limit, names: make(map[string]struct{})}
}

// label returns the label of a name.
func (b *boundedLabels) label(name string) string {
	b.mu.RLock()
	_, known := b.names[name]
	full := len(b.names) >= b.limit
	b.mu.RUnlock()
	if known {
		return name
	}
	if full {
		return otherLabel
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.names) >= b.limit {
		return otherLabel
	}
	b.names[name] = struct{}{}
	return name
}
