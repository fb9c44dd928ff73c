package http1

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/internal/metric"
)

// Source is the kind of sender of a response, a value of a metric label and of a log
// field.
type Source string

// The sources of responses.
const (
	Target       Source = "target"
	Host         Source = "host"
	HealthCheck  Source = "health-check"
	Snapshot     Source = "snapshot"
	Store        Source = "store"
	HostList     Source = "host-list"
	TableService Source = "table-service"
	ObjectStore  Source = "object-store"
	// Recorded is the ledger, for the responses of orders that are repeated.
	Recorded Source = "recorded"
)

// maxLinesPerSecond bounds the log: a sender may spoil all that it sends. Each request
// has the reason of its own failure in its line.
const maxLinesPerSecond = 10

// Monitor counts and logs the responses that are rejected. A nil Monitor does
// nothing.
type Monitor struct {
	log       *zap.Logger
	malformed *prometheus.CounterVec
	lines     *rate.Limiter
	// unlogged is the number of rejections since the last line.
	unlogged atomic.Uint64
}

// NewMonitor returns a Monitor. Its metric goes to reg, which may be nil.
func NewMonitor(log *zap.Logger, reg prometheus.Registerer) (*Monitor, error) {
	m := &Monitor{log: log, lines: rate.NewLimiter(maxLinesPerSecond, maxLinesPerSecond), malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chestnut_malformed_responses_total",
		Help: "Responses that are not HTTP/1.1 and were rejected, by who sent them and what was wrong.",
	}, []string{"source", "reason"})}
	return m, metric.Register(reg, "http1", m.malformed)
}

// Record counts and logs a rejected response. from is the address of the sender, or
// names the stored response.
func (m *Monitor) Record(source Source, from string, err *Error) {
	if m == nil {
		return
	}
	m.malformed.WithLabelValues(string(source), string(err.Reason)).Inc()
	if !m.lines.Allow() {
		m.unlogged.Add(1)
		return
	}
	m.log.Warn("response is not HTTP/1.1; rejected, and its connection is not used again",
		zap.String("source", string(source)), zap.String("from", from), zap.String("reason", string(err.Reason)), zap.String("detail", err.Detail),
		zap.Uint64("unlogged", m.unlogged.Swap(0)))
}

// Observer returns a function that records the rejected responses of one sender.
func (m *Monitor) Observer(source Source, from string) func(*Error) {
	if m == nil {
		return nil
	}
	return func(err *Error) { m.Record(source, from, err) }
}
