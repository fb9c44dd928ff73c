package proxy

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/table"
)

// Guards against routes that no request reaches, as a prefix that an upstream may
// normalize was compared only as written.
func TestRouteOfAnEncodedPrefixIsReached(t *testing.T) {
	g := NewWithT(t)
	tables := &tablesFake{}
	current := testTables()
	for name, prefix := range map[string]string{"plain": "/", "encoded": "/caf%C3%A9/", "slash": "/a%2Fb/", "doubled": "/x//y/", "deep": "/caf%C3%A9/r%20s/"} {
		current.Routes[name] = table.Route{Name: name, PathPrefix: prefix, Pool: "catalogue", Class: table.Lookup}
	}
	tables.Store(current)
	s, err := New(Options{Tables: tables, Balancer: &orderedBalancer{}, Retries: &budgetFake{}})
	g.Expect(err).NotTo(HaveOccurred())
	for path, name := range map[string]string{
		"/caf%C3%A9/1": "encoded", "/a%2Fb/1": "slash", "/x//y/1": "doubled", "/caf%C3%A9/r%20s/1": "deep", "/specs/a%20b": "lookup",
	} {
		m, p := s.route(s.router.Router(), &inbound{method: http.MethodGet, path: path, target: path})
		g.Expect(p).To(BeNil(), "%s", path)
		g.Expect(m.Route.Name).To(Equal(name), "%s", path)
	}
	for _, path := range []string{"/caf%C3%A9/%2e%2e/specs/1", "/caf%C3%A9/%72%20s/1", "/specs/../orders/1"} {
		_, p := s.route(s.router.Router(), &inbound{method: http.MethodGet, path: path, target: path})
		g.Expect(p).NotTo(BeNil(), "%s", path)
		g.Expect(p.status).To(Equal(http.StatusBadRequest), "%s", path)
	}
}
