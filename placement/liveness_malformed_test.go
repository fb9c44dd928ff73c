package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/internal/cuttest"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// Guards against a target that lives and is taken for ended, and its requests for ones
// that end targets, because its answer to the check is no HTTP/1.1 response.
func TestTargetWithAMalformedResponseLives(t *testing.T) {
	g := NewWithT(t)
	s := cuttest.Start(t)
	s.AnswerAlways("HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n")
	q := placement.HTTPLoadQuerier{Client: upstream.New(upstream.Options{}), Dialect: dialect.Default()}
	b, err := placement.New(placement.Options{LoadQuerier: q, MaxQueriesPerSecond: 1000})
	g.Expect(err).NotTo(HaveOccurred())
	target := testTarget("live", 1)
	target.Addr = s.Addr
	b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: []registry.Target{target}}})
	g.Expect(b.Responds(t.Context(), "p", target.Instance, target.Addr)).To(BeTrue())
	s.AnswerAlways("")
	g.Expect(b.Responds(t.Context(), "p", target.Instance, target.Addr)).To(BeFalse(), "closes its connections without a response")
}
