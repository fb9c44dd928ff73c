package limit

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// maxCallers is the number of callers that get their own label value; it bounds
// the cardinality of the metrics.
const maxCallers = 100

// otherCallers is the label value of all callers beyond maxCallers.
const otherCallers = "other"

var classNames = [classCount]string{string(table.Lookup), string(table.Order), string(table.Batch)}

type metrics struct {
	wait     *prometheus.HistogramVec
	granted  *prometheus.CounterVec
	refused  *prometheus.CounterVec
	limit    *prometheus.GaugeVec
	inFlight *prometheus.GaugeVec
	queued   *prometheus.GaugeVec

	mu      sync.Mutex
	callers map[string]struct{}
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"pool"})
	}
	m := &metrics{
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "chestnut_admission_wait_seconds",
			Help:    "Wait of admitted requests by pool and class.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 13),
		}, []string{"pool", "class"}),
		granted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_admission_granted_total",
			Help: "Admitted requests by pool, class and caller.",
		}, []string{"pool", "class", "caller"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_admission_refused_total",
			Help: "Refused requests by pool, class, caller and reason.",
		}, []string{"pool", "class", "caller", "reason"}),
		limit:    gauge("chestnut_admission_limit", "Concurrency limit of this host."),
		inFlight: gauge("chestnut_admission_in_flight", "Requests in flight."),
		queued:   gauge("chestnut_admission_queued", "Requests waiting for admission."),
		callers:  map[string]struct{}{},
	}
	if err := metric.Register(reg, "limit", m.wait, m.granted, m.refused, m.limit, m.inFlight, m.queued); err != nil {
		return nil, err
	}
	return m, nil
}

// callerLabel returns the caller, or otherCallers once maxCallers are known.
func (m *metrics) callerLabel(caller string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.callers[caller]; ok {
		return caller
	}
	if len(m.callers) >= maxCallers {
		return otherCallers
	}
	m.callers[caller] = struct{}{}
	return caller
}

// poolMetrics are the metrics of one pool.
type poolMetrics struct {
	parent                  *metrics
	name                    string
	wait                    [classCount]prometheus.Observer
	limit, inFlight, queued prometheus.Gauge
}

func (m *metrics) pool(name string) *poolMetrics {
	p := &poolMetrics{
		parent: m, name: name,
		limit:    m.limit.WithLabelValues(name),
		inFlight: m.inFlight.WithLabelValues(name),
		queued:   m.queued.WithLabelValues(name),
	}
	for class, label := range classNames {
		p.wait[class] = m.wait.WithLabelValues(name, label)
	}
	return p
}

func (p *poolMetrics) admitted(class int, caller string, waited time.Duration) {
	p.wait[class].Observe(waited.Seconds())
	p.parent.granted.WithLabelValues(p.name, classNames[class], p.parent.callerLabel(caller)).Inc()
}

func (p *poolMetrics) refused(class int, caller string, reason outcome.Reason) {
	p.parent.refused.WithLabelValues(p.name, classNames[class], p.parent.callerLabel(caller), reason.String()).Inc()
}

func (p *poolMetrics) observe(c *controller) {
	p.limit.Set(c.totalLimiter.Limit())
	p.inFlight.Set(float64(c.totalGate.inFlight))
	p.queued.Set(float64(c.queue.Len()))
}
