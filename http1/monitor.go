package http1

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

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

// Monitor counts and logs the responses that are rejected. A nil Monitor does
// nothing.
type Monitor struct {
	log       *zap.Logger
	malformed *prometheus.CounterVec
}

// NewMonitor returns a Monitor. Its metric goes to reg, which may be nil.
func NewMonitor(log *zap.Logger, reg prometheus.Registerer) (*Monitor, error) {
	m := &Monitor{log: log, malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
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
	m.log.Warn("response is not HTTP/1.1; rejected, and its connection is not used again",
		zap.String("source", string(source)), zap.String("from", from), zap.String("reason", string(err.Reason)), zap.String("detail", err.Detail))
}

// Observer returns a function that records the rejected responses of one sender.
func (m *Monitor) Observer(source Source, from string) func(*Error) {
	if m == nil {
		return nil
	}
	return func(err *Error) { m.Record(source, from, err) }
}
