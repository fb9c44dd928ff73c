package storesync

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/table"
)

// tablesMetrics shows which tables are in force and whether they are the newest.
type tablesMetrics struct {
	refused prometheus.Counter
}

func newTablesMetrics() tablesMetrics {
	return tablesMetrics{
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chestnut_tables_refused_total",
			Help: "Readings of new tables in the store that this host could not put in force.",
		}),
	}
}

// collectors returns the metrics of a follower's tables.
func (m tablesMetrics) collectors(f *Follower) []prometheus.Collector {
	return []prometheus.Collector{
		m.refused,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chestnut_tables_version",
			Help: "Version of the tables in force, 0 while there are none.",
		}, func() float64 { return float64(f.Current().Version) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chestnut_tables_unusable_entries",
			Help: "Routes of the tables in force that can't be used, and 1 more if other entries were left out.",
		}, func() float64 { return float64(unusableEntries(f.Current())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chestnut_tables_unconfirmed_seconds",
			Help: "Time since the tables in force were last known to be the newest in the store; 0 while there are none.",
		}, f.unconfirmedSeconds),
	}
}

func unusableEntries(t *table.Tables) int {
	n := 0
	for _, r := range t.Routes {
		if r.Unusable {
			n++
		}
	}
	if t.Incomplete {
		n++
	}
	return n
}

// unconfirmedSeconds returns the time since the tables in force were last known to be
// the newest.
func (f *Follower) unconfirmedSeconds() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastConfirmedAt.IsZero() {
		return 0
	}
	return f.Clock.Now().Sub(f.lastConfirmedAt).Seconds()
}
