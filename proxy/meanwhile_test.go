package proxy

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/table"
)

// Guards against a final 404 from tables that were replaced after the request was
// matched and before they were found to be the newest.
func TestRouteThatArrivesWhileARequestIsMatchedIsNotDenied(t *testing.T) {
	g := NewWithT(t)
	tables := &tablesFake{}
	tables.Store(testTables())
	s, err := New(Options{Tables: tables, Balancer: &orderedBalancer{}, Retries: &budgetFake{}, TablesConfirmed: func() bool {
		next := testTables()
		next.Version = 2
		next.Routes["new"] = table.Route{Name: "new", PathPrefix: "/new/", Pool: "catalogue", Class: table.Lookup}
		tables.Store(next)
		return true
	}})
	g.Expect(err).NotTo(HaveOccurred())
	_, p := s.route(s.router.Router(), &inbound{method: http.MethodGet, path: "/new/a", target: "/new/a"})
	if p != nil {
		g.Expect(p.status).To(Equal(http.StatusServiceUnavailable))
	}
}
