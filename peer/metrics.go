package peer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/internal/metric"
)

type metrics struct {
	bytes             *prometheus.CounterVec
	bytesIn, bytesOut prometheus.Counter
	exchanges         *prometheus.CounterVec
	rejections        *prometheus.CounterVec
	answered          prometheus.Counter
	refused           prometheus.Counter
	unauthorized      prometheus.Counter
	skippedRounds     prometheus.Counter
	keyExchanges      *prometheus.CounterVec
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "chestnut_peer_" + name, Help: help})
	}
	m := &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_peer_bytes_total", Help: "Bytes on peer connections, HTTP and TLS included.",
		}, []string{"direction"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_peer_exchanges_total", Help: "Exchanges begun by this host.",
		}, []string{"result"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_peer_rejection_messages_total", Help: "Messages to peers about targets that reject all requests.",
		}, []string{"result"}),
		keyExchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_peer_key_exchanges_total", Help: "Exchanges of keys for messages begun by this host.",
		}, []string{"result"}),
		answered:      counter("answered_total", "Exchanges begun by peers and answered."),
		refused:       counter("refused_total", "Messages refused for their content."),
		unauthorized:  counter("unauthorized_total", "Requests refused for their token."),
		skippedRounds: counter("skipped_rounds_total", "Rounds left out to stay within the byte budget."),
	}
	m.bytesIn, m.bytesOut = m.bytes.WithLabelValues("in"), m.bytes.WithLabelValues("out")
	return m
}

func (m *metrics) register(r prometheus.Registerer) error {
	all := []prometheus.Collector{m.bytes, m.exchanges, m.rejections, m.answered, m.refused, m.unauthorized, m.skippedRounds, m.keyExchanges}
	return metric.Register(r, "peer", all...)
}

// countBytes counts bytes that a connection carried, in the metrics and against
// the budget.
func (n *Node) countBytes(direction prometheus.Counter, bytes int) {
	if bytes <= 0 {
		return
	}
	direction.Add(float64(bytes))
	n.budget.spend(n.opt.Clock.Now(), bytes)
}

// keyExchange counts an exchange of keys that ended with err.
func (m *metrics) keyExchange(err error) {
	m.keyExchanges.WithLabelValues(lo.Ternary(err == nil, "ok", "failed")).Inc()
}
