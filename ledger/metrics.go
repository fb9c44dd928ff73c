package ledger

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
)

var claimNames = map[lb.ClaimState]string{
	lb.ClaimGranted: "granted", lb.ClaimDone: "done", lb.ClaimInFlight: "in_flight",
	lb.ClaimConflict: "conflict", lb.ClaimUnavailable: "unavailable",
}

type metrics struct {
	claims           *prometheus.CounterVec
	claimSeconds     prometheus.Histogram
	calls            *prometheus.CounterVec
	items            *prometheus.CounterVec
	badRows          prometheus.Counter
	strayTokens      prometheus.Counter
	claimsLost       prometheus.Counter
	withdrawn        prometheus.Counter
	responsesDropped prometheus.Counter
}

func newMetrics() *metrics {
	const ns = "chestnut_ledger_"
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: ns + name, Help: help})
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: ns + name, Help: help}, labels)
	}
	const firstBucket, factor, buckets = 0.0005, 2, 12
	return &metrics{
		claims: vec("claims_total", "Claims by their answer.", "answer"),
		claimSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: ns + "claim_seconds", Help: "Time that a claim took.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, factor, buckets),
		}),
		calls:            vec("calls_total", "Calls of the table service.", "lane", "result"),
		items:            vec("items_total", "Rows in calls of the table service.", "lane"),
		badRows:          counter("bad_rows_total", "Rows that could not be understood."),
		strayTokens:      counter("stray_tokens_total", "Ends reported for a key that was not held."),
		claimsLost:       counter("claims_lost_total", "Ends that found their claim replaced."),
		withdrawn:        counter("withdrawn_total", "Claims of refused requests that had to be released."),
		responsesDropped: counter("answers_dropped_total", "Answers not kept because too many waited."),
	}
}

func (m *metrics) register(r prometheus.Registerer, l *Ledger) error {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chestnut_ledger_" + name, Help: help}, value)
	}
	all := []prometheus.Collector{
		m.claims, m.claimSeconds, m.calls, m.items, m.badRows, m.strayTokens, m.claimsLost, m.withdrawn, m.responsesDropped,
		gauge("pending", "Orders whose end is not yet recorded.", func() float64 { return float64(l.Pending()) }),
		gauge("breaker_open", "1 while claims are refused because the table service fails.", func() float64 {
			if _, open := l.breaker.isOpen(l.opt.Clock.Now()); open {
				return 1
			}
			return 0
		}),
	}
	return metric.Register(r, "ledger", all...)
}

func (m *metrics) claimed(s lb.ClaimState, took time.Duration) {
	m.claims.WithLabelValues(claimNames[s]).Inc()
	m.claimSeconds.Observe(took.Seconds())
}

func (m *metrics) call(lane string, ok bool, items int) {
	name := "failed"
	if ok {
		name = "ok"
	}
	m.calls.WithLabelValues(lane, name).Inc()
	m.items.WithLabelValues(lane).Add(float64(items))
}
