package report

import (
	"fmt"
	"io"
	"strings"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/loadgen"
)

// writeMarkdown writes the whole report.
func (p *page) writeMarkdown(w io.Writer) {
	repeats := len(lo.UniqBy(p.results, func(r experiment.Result) int { return r.Repeat }))
	fmt.Fprintf(w, "# %s: %d runs, %d repeats\n\n", p.name, len(p.results), repeats)
	fmt.Fprint(w, "Times are in milliseconds from the intended start, as callers see them. Each figure is the median\n"+
		"over the repeats, with the lowest and the highest. *bound* is computed, not measured: an all-knowing\n"+
		"central queue with the same arrivals and service times and free knowledge and travel.\n"+
		"p50, p99 and p99.9 are of whole answers; *p99 of all sent* counts requests without one last, and says\n"+
		"*unanswered* when more than one in a hundred got none in some repeat.\n\n")
	p.writeGuarantees(w)
	p.writeAims(w)
	for _, s := range p.scenarios {
		p.writeScenario(w, s)
	}
	p.writeCosts(w)
}

func writeRow(w io.Writer, cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }

func writeHeader(w io.Writer, cells ...string) {
	writeRow(w, cells...)
	fmt.Fprintf(w, "|%s\n", strings.Repeat("---|", len(cells)))
}

// writeGuarantees writes how often each guarantee was violated in all runs
// together. The report calls guarantees promises.
func (p *page) writeGuarantees(w io.Writer) {
	var v loadgen.Violations
	orders, late := 0, int64(0)
	for _, r := range p.results {
		v.DuplicateOrders += r.Violations.DuplicateOrders
		v.UntrueNotRun += r.Violations.UntrueNotRun
		v.Wrong += r.Violations.Wrong
		v.Truncated += r.Violations.Truncated
		orders += r.Log.Orders
		late += r.Targets.LateWork
	}
	fmt.Fprint(w, "## Promises\n\n")
	writeHeader(w, "promise", "broken", "verdict")
	for _, line := range []struct {
		name   string
		broken int
	}{
		{fmt.Sprintf("orders run at most once (%d orders)", orders), v.DuplicateOrders},
		{"a refusal as not run is true", v.UntrueNotRun},
		{"an answer is the caller's own", v.Wrong},
		{"an answer that ends cleanly is whole", v.Truncated},
		{"a leaving target gets no new work after 2 s", int(late)},
	} {
		writeRow(w, line.name, fmt.Sprint(line.broken), lo.Ternary(line.broken == 0, "held", "**BROKEN**"))
	}
	fmt.Fprintln(w)
}

func (p *page) writeScenario(w io.Writer, scenario string) {
	fmt.Fprintf(w, "## %s\n\n", scenario)
	writeHeader(w, "service", "class", "load %", "policy", "p50", "p99", "p99.9", "p99 of all sent", "goodput/s",
		"refused %", "unknown, failed, lost %", "retries %", "p99 to p2c", "p99 to bound", "bound p99")
	for _, k := range p.keys {
		if k.scenario != scenario {
			continue
		}
		stats := p.stats[k]
		writeRow(w, k.service, string(k.class), fmt.Sprint(k.cell.Load), k.cell.Policy,
			stats.p50.String(), stats.p99.String(), stats.p999.String(), formatP99Sent(stats), fmt.Sprintf("%.0f", stats.goodput.Median),
			fmt.Sprintf("%.2f", stats.refused.Median), fmt.Sprintf("%.2f", stats.failedOrUnknown.Median), fmt.Sprintf("%.2f", stats.retries.Median),
			formatRatio(stats.p99ToBaseline, stats.hasBaseline), formatRatio(stats.p99ToBound, stats.hasBound), fmt.Sprintf("%.1f", stats.boundP99.Median))
	}
	fmt.Fprintln(w)
}

func formatP99Sent(stats classStats) string {
	if stats.unanswered {
		return "unanswered"
	}
	return stats.p99Sent.String()
}

func formatRatio(s Spread, ok bool) string {
	if !ok {
		return "–"
	}
	return fmt.Sprintf("%.2f", s.Median)
}

// costStats are the costs of a cell over the repeats, in the units of the table that
// writeCosts writes.
type costStats struct {
	probes, probeShare, control, reads, writes, perHost, busy Spread
	budget                                                    float64
}

func (p *page) costsOf(scenario string, cell experiment.Cell) costStats {
	runs := lo.Filter(p.results, func(r experiment.Result, _ int) bool { return r.Scenario == scenario && r.Cell == cell })
	spread := func(f func(r experiment.Result) float64) Spread {
		return newSpread(lo.Map(runs, func(r experiment.Result, _ int) float64 { return f(r) }))
	}
	return costStats{
		probes:     spread(func(r experiment.Result) float64 { return r.Costs.ProbesPerSecond }),
		probeShare: spread(func(r experiment.Result) float64 { return 100 * r.Costs.ProbeShare }),
		control:    spread(func(r experiment.Result) float64 { return r.Costs.PeerBytesPerSecond }),
		reads:      spread(func(r experiment.Result) float64 { return r.Costs.TableReadsPerSecond }),
		writes:     spread(func(r experiment.Result) float64 { return r.Costs.TableWritesPerSecond }),
		perHost:    spread(func(r experiment.Result) float64 { return 100 * r.Machine.Cores / float64(r.Hosts) }),
		busy:       spread(func(r experiment.Result) float64 { return 100 * r.Machine.Busy }),
		budget:     runs[0].Costs.ProbeBudget,
	}
}

func (p *page) writeCosts(w io.Writer) {
	fmt.Fprint(w, "## Cost of measuring and control\n\n"+
		"Processor time is of the whole process (entry hosts, stand-ins and load tool) over the number of hosts,\n"+
		"in percent of a core; with no load it bounds the cost of control. Busy is the share of the whole machine\n"+
		"by any process, from /proc/stat over the measured window; over 50% is marked.\n\n")
	writeHeader(w, "scenario", "policy", "load %", "probes/s a target", "budget", "probes % of work",
		"control B/s a host", "table reads/s", "table writes/s", "processor % a host", "machine busy %")
	for _, s := range p.scenarios {
		cells := lo.Uniq(lo.FilterMap(p.results, func(r experiment.Result, _ int) (experiment.Cell, bool) {
			return r.Cell, r.Scenario == s
		}))
		for _, c := range cells {
			costs := p.costsOf(s, c)
			busy := costs.busy.String()
			if costs.busy.High > 100*experiment.MaxBusyShare {
				busy = "**" + busy + "**"
			}
			writeRow(w, s, c.Policy, fmt.Sprint(c.Load), costs.probes.String(), fmt.Sprint(costs.budget),
				fmt.Sprintf("%.2f", costs.probeShare.Median), fmt.Sprintf("%.0f", costs.control.Median),
				fmt.Sprintf("%.0f", costs.reads.Median), fmt.Sprintf("%.0f", costs.writes.Median),
				fmt.Sprintf("%.2f", costs.perHost.Median), busy)
		}
	}
	fmt.Fprintln(w)
}
