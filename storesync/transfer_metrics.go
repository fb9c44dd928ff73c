package storesync

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/table"
)

// transferMetrics shows what a host sends to others, and how near tables are to the
// bound on their size.
type transferMetrics struct {
	served      *prometheus.CounterVec
	bytes       prometheus.Counter
	tablesBytes *prometheus.GaugeVec
}

func newTransferMetrics() transferMetrics {
	return transferMetrics{
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_snapshots_served_total",
			Help: "Requests of other hosts for a snapshot, by result.",
		}, []string{"result"}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chestnut_snapshot_bytes_total",
			Help: "Bytes of the snapshots that this host served.",
		}),
		tablesBytes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "chestnut_tables_bytes",
			Help: "Size of the tables that this host last sent whole: as JSON, which must not exceed 67108864, and packed.",
		}, []string{"form"}),
	}
}

func (m transferMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.served, m.bytes, m.tablesBytes}
}

// largeTablesShare is the share of table.MaxTransferBytes from which the log warns.
const largeTablesShare = 0.5

// showTransferSize shows the size of tables that were encoded whole.
func (f *Follower) showTransferSize(e tablesEncoding) {
	f.transferMetrics.tablesBytes.WithLabelValues("json").Set(float64(e.whole.plainBytes))
	f.transferMetrics.tablesBytes.WithLabelValues("packed").Set(float64(e.whole.packed))
	if float64(e.whole.plainBytes) > largeTablesShare*table.MaxTransferBytes {
		f.Logger.Warn("tables are near the size up to which hosts send them to each other; beyond it each host reads the store",
			zap.Uint64("version", e.tables.Version), zap.Int("routes", len(e.tables.Routes)), zap.Int("bytes", e.whole.plainBytes),
			zap.Int("max_bytes", table.MaxTransferBytes))
	}
}
