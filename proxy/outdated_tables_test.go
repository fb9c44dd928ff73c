package proxy

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
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

// Guards against wrong paths that get 503 for as long as the table service is down.
func TestUnknownRouteIsFinalWhereOnlyKeysAreUnconfirmed(t *testing.T) {
	g := NewWithT(t)
	tables := &tablesFake{}
	tables.Store(testTables())
	s, err := New(Options{
		Tables: tables, Balancer: &orderedBalancer{}, Retries: &budgetFake{},
		TablesConfirmed: func() bool { return false }, RoutesConfirmed: func() bool { return true },
	})
	g.Expect(err).NotTo(HaveOccurred())
	_, p := s.route(s.router.Router(), &inbound{method: http.MethodGet, path: "/new/a", target: "/new/a"})
	g.Expect(p.status).To(Equal(http.StatusNotFound))
}

// Guards against a request that a route with a shorter prefix takes, or that gets a final
// 404, as the entry of its own route can't be used.
func TestUnusableEntriesOfTablesRefuseTheirRequestsAsNotRun(t *testing.T) {
	g := NewWithT(t)
	accepted := testTables()
	accepted.Routes["bad"] = table.Route{Name: "bad", PathPrefix: "/specs/bad/", Pool: "gone", Unusable: true}
	accepted.Incomplete = true
	tables := &tablesFake{}
	tables.Store(accepted)
	s, err := New(Options{Tables: tables, Balancer: &orderedBalancer{}, Retries: &budgetFake{}})
	g.Expect(err).NotTo(HaveOccurred())
	for path, status := range map[string]int{"/specs/a": 0, "/specs/bad/a": http.StatusServiceUnavailable, "/unknown/a": http.StatusServiceUnavailable} {
		_, p := s.route(s.router.Router(), &inbound{method: http.MethodGet, path: path, target: path})
		if status == 0 {
			g.Expect(p).To(BeNil(), path)
			continue
		}
		g.Expect(p.status).To(Equal(status), path)
		g.Expect(p.outcome).To(Equal(outcome.NotRun), path)
	}
}
