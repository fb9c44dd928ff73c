package report

import (
	"fmt"
	"io"
	"strings"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/loadgen"
)

// writeMarkdown writes the whole page.
func (p *page) writeMarkdown(w io.Writer) {
	repeats := len(lo.UniqBy(p.results, func(r experiment.Result) int { return r.Repeat }))
	fmt.Fprintf(w, "# %s: %d runs, %d repeats\n\n", p.name, len(p.results), repeats)
	fmt.Fprint(w, "Times are in milliseconds from the intended start, as callers see them. Each figure is the median\n"+
		"over the repeats, with the lowest and the highest. *bound* is computed, not measured: an all-knowing\n"+
		"central queue with the same arrivals and service times and free knowledge and travel.\n"+
		"p50, p99 and p99.9 are of whole answers; *p99 of all sent* counts requests without one last, and says\n"+
		"*unanswered* when more than one in a hundred got none in some repeat.\n\n")
	p.writePromises(w)
	p.writeAims(w)
	for _, s := range p.scenarios {
		p.writeScenario(w, s)
	}
	p.writeCosts(w)
}

func writeRow(w io.Writer, cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }

func writeHead(w io.Writer, cells ...string) {
	writeRow(w, cells...)
	fmt.Fprintf(w, "|%s\n", strings.Repeat("---|", len(cells)))
}

// writePromises sums the broken promises over all runs.
func (p *page) writePromises(w io.Writer) {
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
	writeHead(w, "promise", "broken", "verdict")
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
	writeHead(w, "service", "class", "load %", "policy", "p50", "p99", "p99.9", "p99 of all sent", "goodput/s",
		"refused %", "unknown, failed, lost %", "retries %", "p99 to p2c", "p99 to bound", "bound p99")
	for _, k := range p.keys {
		if k.scenario != scenario {
			continue
		}
		f := p.figures[k]
		writeRow(w, k.service, string(k.class), fmt.Sprint(k.cell.Load), k.cell.Policy,
			f.p50.String(), f.p99.String(), f.p999.String(), sentText(f), fmt.Sprintf("%.0f", f.goodput.Median),
			fmt.Sprintf("%.2f", f.refused.Median), fmt.Sprintf("%.2f", f.lost.Median), fmt.Sprintf("%.2f", f.retry.Median),
			ratioText(f.toBaseline, f.hasBaseline), ratioText(f.toBound, f.hasBound), fmt.Sprintf("%.1f", f.boundP99.Median))
	}
	fmt.Fprintln(w)
}

func sentText(f classFigures) string {
	if f.unanswered {
		return "unanswered"
	}
	return f.p99Sent.String()
}

func ratioText(s Spread, ok bool) string {
	if !ok {
		return "–"
	}
	return fmt.Sprintf("%.2f", s.Median)
}

// costFigures are the costs of a cell over the repeats.
type costFigures struct {
	probes, probeShare, control, reads, writes, perHost, busy Spread
	budget                                                    float64
}

func (p *page) costsOf(scenario string, cell experiment.Cell) costFigures {
	runs := lo.Filter(p.results, func(r experiment.Result, _ int) bool { return r.Scenario == scenario && r.Cell == cell })
	of := func(f func(r experiment.Result) float64) Spread {
		return spreadOf(lo.Map(runs, func(r experiment.Result, _ int) float64 { return f(r) }))
	}
	return costFigures{
		probes:     of(func(r experiment.Result) float64 { return r.Costs.ProbesPerTarget }),
		probeShare: of(func(r experiment.Result) float64 { return 100 * r.Costs.ProbeShare }),
		control:    of(func(r experiment.Result) float64 { return r.Costs.ControlBytes }),
		reads:      of(func(r experiment.Result) float64 { return r.Costs.TableReads }),
		writes:     of(func(r experiment.Result) float64 { return r.Costs.TableWrites }),
		perHost:    of(func(r experiment.Result) float64 { return 100 * r.Machine.Cores / float64(r.Hosts) }),
		busy:       of(func(r experiment.Result) float64 { return 100 * r.Machine.Busy }),
		budget:     runs[0].Costs.ProbeBudget,
	}
}

func (p *page) writeCosts(w io.Writer) {
	fmt.Fprint(w, "## Cost of measuring and control\n\n"+
		"Processor time is of the whole process (entry hosts, stand-ins and load tool) over the number of hosts,\n"+
		"in percent of a core; with no load it bounds the cost of control. Busy is the share of the whole machine\n"+
		"by any process, from /proc/stat over the measured window; over 50% is marked.\n\n")
	writeHead(w, "scenario", "policy", "load %", "probes/s a target", "budget", "probes % of work",
		"control B/s a host", "table reads/s", "table writes/s", "processor % a host", "machine busy %")
	for _, s := range p.scenarios {
		cells := lo.Uniq(lo.FilterMap(p.results, func(r experiment.Result, _ int) (experiment.Cell, bool) {
			return r.Cell, r.Scenario == s
		}))
		for _, c := range cells {
			f := p.costsOf(s, c)
			busy := f.busy.String()
			if f.busy.High > 100*experiment.BusyLimit {
				busy = "**" + busy + "**"
			}
			writeRow(w, s, c.Policy, fmt.Sprint(c.Load), f.probes.String(), fmt.Sprint(f.budget),
				fmt.Sprintf("%.2f", f.probeShare.Median), fmt.Sprintf("%.0f", f.control.Median),
				fmt.Sprintf("%.0f", f.reads.Median), fmt.Sprintf("%.0f", f.writes.Median),
				fmt.Sprintf("%.2f", f.perHost.Median), busy)
		}
	}
	fmt.Fprintln(w)
}
