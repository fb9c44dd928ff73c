package host

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/internal/cuttest"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// Guards against a target that lives and is taken for ended, and its requests for ones
// that end targets, because its answer to the check is no HTTP/1.1 response.
func TestTargetWithAMalformedResponseLives(t *testing.T) {
	g := NewWithT(t)
	s := cuttest.Start(t)
	tables := table.Empty()
	tables.Pools = map[string]table.Pool{"p": {Name: "p", HealthPath: "/h"}}
	targets := func(table.Pool) ([]table.Target, []netip.AddrPort) { return []table.Target{{Addr: s.Addr}}, nil }
	c := newTargetChecker(func() *table.Tables { return tables }, targets, nil, nil)
	responds := func() bool { return c.Responds(t.Context(), "p", registry.Instance{}, s.Addr) }
	s.AnswerAlways("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	g.Expect(responds()).To(BeTrue())
	for _, response := range []string{"HTTP/1.1 000 None\r\n", "spoilt bytes\r\n\r\n", "HTTP/1.1 200 OK\r\nX A: 1\r\n"} {
		s.AnswerAlways(response + "Content-Length: 0\r\n\r\n")
		g.Expect(responds()).To(BeTrue(), "%q", response)
	}
	s.AnswerAlways("")
	g.Expect(responds()).To(BeFalse(), "closes its connections without a response")
}
