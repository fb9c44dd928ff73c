package config

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the Syncer's counters and gauges.
type metrics struct {
	version prometheus.Gauge
	known   prometheus.Gauge
	// undecodable is the version that this host can't decode.
	undecodable prometheus.Gauge
	installs    *prometheus.CounterVec
	polls       *prometheus.CounterVec
	fetches     *prometheus.CounterVec
	snapshots   *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		version: f.NewGauge(prometheus.GaugeOpts{Name: "chestnut_config_version",
			Help: "Version of the tables in force on this host."}),
		known: f.NewGauge(prometheus.GaugeOpts{Name: "chestnut_config_known_version",
			Help: "Highest version that this host has learned of."}),
		undecodable: f.NewGauge(prometheus.GaugeOpts{Name: "chestnut_config_undecodable_version",
			Help: "Version above the one in force that this host could not decode, 0 when there is none."}),
		installs: f.NewCounterVec(prometheus.CounterOpts{Name: "chestnut_config_installs_total",
			Help: "Versions put in force, by the kind of source."}, []string{"source"}),
		polls: f.NewCounterVec(prometheus.CounterOpts{Name: "chestnut_config_polls_total",
			Help: "Reads of the version row, by result."}, []string{"result"}),
		fetches: f.NewCounterVec(prometheus.CounterOpts{Name: "chestnut_config_fetches_total",
			Help: "Fetches of packed tables, by the kind of source and result."}, []string{"source", "result"}),
		snapshots: f.NewCounterVec(prometheus.CounterOpts{Name: "chestnut_config_snapshots_total",
			Help: "Snapshots written to the object store, by result."}, []string{"result"}),
	}
}

func (m *metrics) countInstall(l loadedTables) {
	m.version.Set(float64(l.tables.Version))
	m.installs.WithLabelValues(sourceLabel(l.source)).Inc()
}

func (m *metrics) countPoll(err error) { m.polls.WithLabelValues(resultLabel(err)).Inc() }

func (m *metrics) countFetch(s source, err error) {
	label := resultLabel(err)
	if undecodable := (*undecodableError)(nil); errors.As(err, &undecodable) {
		label = "undecodable"
	}
	m.fetches.WithLabelValues(sourceLabel(s), label).Inc()
}

func (m *metrics) countSnapshotWrite(err error) { m.snapshots.WithLabelValues(resultLabel(err)).Inc() }

func sourceLabel(s source) string {
	switch s.kind {
	case fromPeer:
		return "peer"
	case fromStore:
		return "store"
	default:
		return "snapshot"
	}
}

func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
