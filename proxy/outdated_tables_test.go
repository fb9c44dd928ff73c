package proxy

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a final 404 for a route that is so new that this host has not read it.
func TestUnknownRouteIsNotFinalWhileTablesMayBeOutdated(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		g := NewWithT(t)
		tables := &tablesFake{}
		tables.Store(testTables())
		s, err := New(Options{
			Tables: tables, Balancer: &orderedBalancer{}, Retries: &budgetFake{},
			TablesConfirmed: func() bool { return confirmed },
		})
		g.Expect(err).NotTo(HaveOccurred())
		in := &inbound{method: http.MethodGet, path: "/new/a", target: "/new/a"}
		_, p := s.route(s.router.Router(), in)
		g.Expect(p).NotTo(BeNil())
		if confirmed {
			g.Expect(p.status).To(Equal(http.StatusNotFound))
			continue
		}
		g.Expect(p.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(p.retryAfter).To(BeNumerically(">", 0))
	}
}
