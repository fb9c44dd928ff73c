package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/report"
	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/table"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

// sampleResult returns a result with the given p99 in milliseconds.
func sampleResult(scenario, policy string, load float64, repeat, p99 int) experiment.Result {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	return experiment.Result{
		Experiment: "made", Scenario: scenario, Repeat: repeat, Hosts: 2,
		Cell: experiment.Cell{Policy: policy, Load: load},
		Classes: []loadgen.Summary{{
			Service: "catalogue", Class: table.Lookup, Sent: 200, Goodput: 95, Retries: 2,
			Outcomes: map[string]int{"answered": 190, "not-run": 8, "unknown": 1, "lost": 1},
			P50:      at(p99 / 4), P99: at(p99), P999: at(2 * p99), P99OfAllSent: at(p99 / 300 * 400),
		}},
		Bound:   []experiment.BoundSummary{{Service: "catalogue", Class: "lookup", P50: at(10), P99: at(50), P999: at(70)}},
		Log:     runlog.Totals{Orders: 7},
		Costs:   experiment.Costs{ProbesPerSecond: 3, ProbeBudget: 20, ProbeShare: 0.002, PeerBytesPerSecond: 4321, TableReadsPerSecond: 12, TableWritesPerSecond: 30},
		Machine: experiment.Machine{Busy: 0.1, Cores: 0.8},
	}
}

func results() []experiment.Result {
	var out []experiment.Result
	for repeat, offset := range []int{0, 4, -4} {
		out = append(out,
			sampleResult("steady", "default", 50, repeat, 55+offset), sampleResult("steady", "p2c", 50, repeat, 80+offset),
			sampleResult("steady", "default", 85, repeat, 60+offset), sampleResult("steady", "p2c", 85, repeat, 120+offset),
			sampleResult("slow_target", "default", 85, repeat, 70+offset), sampleResult("slow_target", "p2c", 85, repeat, 300+offset),
		)
	}
	out[3].Violations.DuplicateOrders = 1
	out[4].Machine.Busy = 0.61
	return out
}

var _ = Describe("the report", func() {
	It("contains medians, spreads, ratios, violated guarantees and missed aims", func() {
		var b bytes.Buffer
		report.Markdown(&b, results())
		goldie.New(GinkgoTB(), goldie.WithFixtureDir("testdata")).Assert(GinkgoTB(), "report", b.Bytes())
	})

	It("is written with its plots beside the results", func() {
		dir := GinkgoT().TempDir()
		w, err := experiment.NewWriter(dir)
		Expect(err).NotTo(HaveOccurred())
		for _, r := range results() {
			Expect(w.Write(r)).To(Succeed())
		}
		Expect(w.Close()).To(Succeed())
		Expect(report.Write(dir)).To(Equal([]string{"report.md", "scenarios-catalogue.png", "loads-catalogue.png"}))
		for _, name := range []string{"scenarios-catalogue.png", "loads-catalogue.png"} {
			head, err := os.ReadFile(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
			Expect(head[:8]).To(Equal([]byte("\x89PNG\r\n\x1a\n")))
		}
	})

	It("leaves out plots without data", func() {
		written := func(r ...experiment.Result) []string {
			dir := GinkgoT().TempDir()
			w, err := experiment.NewWriter(dir)
			Expect(err).NotTo(HaveOccurred())
			for _, result := range r {
				Expect(w.Write(result)).To(Succeed())
			}
			Expect(w.Close()).To(Succeed())
			names, err := report.Write(dir)
			Expect(err).NotTo(HaveOccurred())
			return names
		}
		Expect(written(sampleResult("steady", "default", 50, 0, 55))).To(Equal([]string{"report.md", "loads-catalogue.png"}))
		Expect(written(sampleResult("slow_target", "default", 85, 0, 55))).To(Equal([]string{"report.md", "scenarios-catalogue.png"}))
		Expect(written(sampleResult("slow_target", "p2c", 50, 0, 55))).To(Equal([]string{"report.md"}))
	})

	It("returns an error for a directory without results", func() {
		dir := GinkgoT().TempDir()
		_, err := report.Write(dir)
		Expect(err).To(HaveOccurred())
		w, err := experiment.NewWriter(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Close()).To(Succeed())
		_, err = report.Write(dir)
		Expect(err).To(MatchError(ContainSubstring("holds no result")))
	})
})
