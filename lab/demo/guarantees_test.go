package demo_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/demo"
	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/table"
)

func TestDemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demo")
}

// soundEvidence returns the evidence of a run in which every guarantee held.
func soundEvidence() demo.Evidence {
	e := demo.Evidence{
		Classes: []loadgen.Class{{Name: table.Lookup}, {Name: table.Batch}},
		Orders:  3, Copies: 1, MaxProbeRate: 20, ProbeBudget: 20, StoppedHost: "a", PropagationTime: time.Second,
	}
	for i := range 40 {
		at := time.Duration(i) * 100 * time.Millisecond
		e.Records = append(e.Records, loadgen.Record{
			Request: loadgen.Request{At: at, Class: i % 2}, Host: "a", Outcome: loadgen.Answered,
		})
	}
	return e
}

var _ = DescribeTable("reports exactly the guarantee that was violated",
	func(name string, violate func(*demo.Evidence)) {
		e := soundEvidence()
		Expect(demo.Check(e)).To(HaveEach(HaveField("Held", true)))
		violate(&e)
		broken := lo.Filter(demo.Check(e), func(g demo.Guarantee, _ int) bool { return !g.Held })
		Expect(broken).To(HaveLen(1))
		Expect(broken[0].Name).To(ContainSubstring(name))
	},
	Entry("too many probes", "measuring", func(e *demo.Evidence) { e.MaxProbeRate = 20.1 }),
	Entry("wrong response", "caller's own", func(e *demo.Evidence) { e.Violations.Wrong = 1 }),
	Entry("truncated response", "caller's own", func(e *demo.Evidence) { e.Violations.Truncated = 1 }),
	Entry("request ran despite not-run", "not run is true", func(e *demo.Evidence) { e.Violations.UntrueNotRun = 1 }),
	Entry("duplicate order", "at most once", func(e *demo.Evidence) { e.Violations.DuplicateOrders = 1 }),
	Entry("no order ran", "at most once", func(e *demo.Evidence) { e.Orders = 0 }),
	Entry("starved batch class", "starves", func(e *demo.Evidence) {
		for i, r := range e.Records {
			if r.Request.Class == 1 && r.Request.At < time.Second {
				e.Records[i].Outcome = loadgen.NotRun
			}
		}
	}),
	Entry("late request", "leaving target", func(e *demo.Evidence) { e.LateWork = 1 }),
	Entry("request lost by the stop", "planned stop", func(e *demo.Evidence) { e.Records[0].Outcome = loadgen.Lost }),
	Entry("failed stop", "planned stop", func(e *demo.Evidence) { e.StopError = errors.New("late") }),
	Entry("slow configuration", "in force", func(e *demo.Evidence) { e.PropagationTime = 13 * time.Second }),
	Entry("configuration not in force", "in force", func(e *demo.Evidence) { e.PropagationError = errors.New("late") }),
	Entry("reverted configuration", "in force", func(e *demo.Evidence) { e.Reversions = 1 }),
)

var _ = It("returns an error when a guarantee is violated", func() {
	e := soundEvidence()
	var b bytes.Buffer
	Expect(demo.WriteResults(&b, demo.Check(e))).To(Succeed())
	e.LateWork = 3
	Expect(demo.WriteResults(&b, demo.Check(e))).To(MatchError("1 of 8 promises broken"))
	Expect(b.String()).To(ContainSubstring("BROKEN  a leaving target"))
})
