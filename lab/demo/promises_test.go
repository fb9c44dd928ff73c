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

// sound is the evidence of a run in which every promise held.
func sound() demo.Evidence {
	e := demo.Evidence{
		Classes: []loadgen.Class{{Name: table.Lookup}, {Name: table.Batch}},
		Orders:  3, Copies: 1, BusiestProbes: 20, ProbeBudget: 20, StoppedHost: "a", InForce: time.Second,
	}
	for i := range 40 {
		at := time.Duration(i) * 100 * time.Millisecond
		e.Records = append(e.Records, loadgen.Record{
			Request: loadgen.Request{At: at, Class: i % 2}, Host: "a", End: loadgen.Answered,
		})
	}
	return e
}

var _ = DescribeTable("a promise that is broken is said to be, and no other",
	func(name string, damage func(*demo.Evidence)) {
		e := sound()
		Expect(demo.Judge(e)).To(HaveEach(HaveField("Held", true)))
		damage(&e)
		broken := lo.Filter(demo.Judge(e), func(p demo.Promise, _ int) bool { return !p.Held })
		Expect(broken).To(HaveLen(1))
		Expect(broken[0].Name).To(ContainSubstring(name))
	},
	Entry("probes", "measuring", func(e *demo.Evidence) { e.BusiestProbes = 20.1 }),
	Entry("wrong answer", "caller's own", func(e *demo.Evidence) { e.Violations.Wrong = 1 }),
	Entry("truncated answer", "caller's own", func(e *demo.Evidence) { e.Violations.Truncated = 1 }),
	Entry("untrue refusal", "not run is true", func(e *demo.Evidence) { e.Violations.UntrueNotRun = 1 }),
	Entry("duplicate", "at most once", func(e *demo.Evidence) { e.Violations.DuplicateOrders = 1 }),
	Entry("no order at all", "at most once", func(e *demo.Evidence) { e.Orders = 0 }),
	Entry("starved batch", "starves", func(e *demo.Evidence) {
		for i, r := range e.Records {
			if r.Request.Class == 1 && r.Request.At < time.Second {
				e.Records[i].End = loadgen.NotRun
			}
		}
	}),
	Entry("late work", "leaving target", func(e *demo.Evidence) { e.LateWork = 1 }),
	Entry("cut by the stop", "planned stop", func(e *demo.Evidence) { e.Records[0].End = loadgen.Lost }),
	Entry("stop that ran out of time", "planned stop", func(e *demo.Evidence) { e.StopError = errors.New("late") }),
	Entry("slow configuration", "in force", func(e *demo.Evidence) { e.InForce = 13 * time.Second }),
	Entry("configuration not in force", "in force", func(e *demo.Evidence) { e.InForceError = errors.New("late") }),
	Entry("reverted configuration", "in force", func(e *demo.Evidence) { e.Reverted = 1 }),
)

var _ = It("ends with an error when a promise is broken", func() {
	e := sound()
	var b bytes.Buffer
	Expect(demo.Verdict(&b, demo.Judge(e))).To(Succeed())
	e.LateWork = 3
	Expect(demo.Verdict(&b, demo.Judge(e))).To(MatchError("1 of 8 promises broken"))
	Expect(b.String()).To(ContainSubstring("BROKEN  a leaving target"))
})
