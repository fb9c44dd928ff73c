package membership

import "github.com/prometheus/client_golang/prometheus"

// collector reads the metrics from the Service at each collection.
type collector struct {
	s                                     *Service
	members, share, holds, events, tables *prometheus.Desc
}

func newCollector(s *Service) *collector {
	const ns = "chestnut_membership_"
	return &collector{
		s:       s,
		members: prometheus.NewDesc(ns+"members", "Counted hosts by state.", []string{"state"}, nil),
		share:   prometheus.NewDesc(ns+"share_count", "Number that shared limits are divided by.", nil, nil),
		holds:   prometheus.NewDesc(ns+"lease_held", "1 while the lease covers actions.", nil, nil),
		events:  prometheus.NewDesc(ns+"events_total", "Pauses, lapses, expired hosts, refused entries.", []string{"event"}, nil),
		tables:  prometheus.NewDesc(ns+"table_calls_total", "Reads and writes of the rows.", []string{"result"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	total := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	states := map[State]int{Live: 0, Leaving: 0}
	for _, m := range c.s.Members() {
		states[m.State]++
	}
	for state, n := range states {
		gauge(c.members, float64(n), state.String())
	}
	gauge(c.share, float64(c.s.ShareDivisor()))
	held := 0.0
	if c.s.Held() {
		held = 1
	}
	gauge(c.holds, held)
	c.s.mu.Lock()
	counts := c.s.core.Counters()
	c.s.mu.Unlock()
	total(c.events, counts.Pauses, "pause")
	total(c.events, counts.Lapses, "lapse")
	total(c.events, counts.Expired, "expired")
	total(c.events, counts.Refused, "refused")
	total(c.events, counts.DropsWithheld, "kept")
	total(c.tables, c.s.rows.ok.Load(), "ok")
	total(c.tables, c.s.rows.failed.Load(), "failed")
	total(c.tables, c.s.rows.badRows.Load(), "bad_row")
}
