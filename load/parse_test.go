package load_test

import (
	"math"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/load"
)

var _ = Describe("Parse", func() {
	DescribeTable("accepts",
		func(s string, want load.Report) {
			Expect(load.Parse(s)).To(Equal(want))
		},
		Entry("text", "TEXT application_utilization=0.5, rps_fractional=3, named_metrics.in_flight=3, named_metrics.queued=1",
			load.Report{InFlight: 3, Queued: 1, Utilization: 0.5}),
		Entry("text without prefix", "application_utilization=1.5", load.Report{InFlight: -1, Queued: -1, Utilization: 1.5}),
		Entry("JSON", `JSON {"application_utilization":1,"named_metrics":{"in_flight":2,"queued":0,"other":-7}}`,
			load.Report{InFlight: 2, Queued: 0, Utilization: 1}),
		Entry("unknown metrics alone", "cpu_utilization=0.4,mem_utilization=NaN", load.Report{InFlight: -1, Queued: -1, Utilization: -1}),
	)

	DescribeTable("rejects",
		func(s string, want error) {
			_, err := load.Parse(s)
			Expect(err).To(MatchError(want))
		},
		Entry("empty", "", load.ErrSyntax),
		Entry("no name=value pair", "TEXT busy", load.ErrSyntax),
		Entry("not a number", "named_metrics.in_flight=two", load.ErrSyntax),
		Entry("broken JSON", `JSON {"named_metrics":`, load.ErrSyntax),
		Entry("negative", "named_metrics.in_flight=-1", load.ErrOutOfRange),
		Entry("NaN", "application_utilization=NaN", load.ErrOutOfRange),
		Entry("infinite", "application_utilization=+Inf", load.ErrOutOfRange),
		Entry("too large", `{"named_metrics":{"queued":1e18}}`, load.ErrOutOfRange),
		Entry("too long", "a="+strings.Repeat("1", load.MaxReportBytes), load.ErrOversize),
	)

	It("derives the count from the metrics that are present", func() {
		n, ok := load.Report{InFlight: -1, Queued: -1, Utilization: 0.5}.Count(2)
		Expect(n).To(Equal(1))
		Expect(ok).To(BeTrue())
		n, _ = load.Report{InFlight: 2, Queued: 3, Utilization: 1}.Count(2)
		Expect(n).To(Equal(5), "queued requests are added")
		_, ok = load.Report{InFlight: -1, Queued: -1, Utilization: -1}.Count(2)
		Expect(ok).To(BeFalse())
	})
})

func FuzzParse(f *testing.F) {
	f.Add("TEXT application_utilization=0.5, named_metrics.in_flight=3")
	f.Add(`JSON {"named_metrics":{"in_flight":2}}`)
	f.Add("named_metrics.queued=1e400")
	f.Fuzz(func(t *testing.T, s string) {
		r, err := load.Parse(s)
		if err != nil {
			return
		}
		if r.InFlight < load.Absent || r.InFlight > load.MaxCount || r.Queued < load.Absent || r.Queued > load.MaxCount {
			t.Fatalf("count out of range: %+v", r)
		}
		if math.IsNaN(r.Utilization) || math.IsInf(r.Utilization, 0) {
			t.Fatalf("utilization not finite: %+v", r)
		}
		if n, ok := r.Count(2); ok && (n < 0 || n > 2*load.MaxCount) {
			t.Fatalf("count %d", n)
		}
	})
}
