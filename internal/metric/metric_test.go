package metric_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/internal/metric"
)

func TestRegister(t *testing.T) {
	g := NewWithT(t)
	counter := func(name string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: name})
	}
	r := prometheus.NewRegistry()
	g.Expect(metric.Register(nil, "none", counter("a"))).To(Succeed())
	g.Expect(metric.Register(r, "first", counter("a"), counter("b"))).To(Succeed())
	g.Expect(r.Gather()).To(HaveLen(2))
	g.Expect(metric.Register(r, "second", counter("c"), counter("b"))).To(MatchError(HavePrefix("metrics of second: ")))
}
