package report

import (
	"fmt"
	"io"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/table"
)

// The performance aims that the users stated for lookups under the default policy:
// at aimLoad percent of the slot capacity, the maximum ratio of the p99 to that of
// the baseline policy and to the computed bound, and the maximum share of probes in
// the targets' work in percent. Misses above maxShownPercent are not shown exactly.
const (
	aimLoad         = 85.0
	aimToBaseline   = 0.5
	aimToBound      = 1.3
	aimProbePercent = 1.0
	steadyScenario  = "steady"
	maxShownPercent = 1000.0
)

// writeAims writes which aims are met and by how much the others are missed. The
// aim against the baseline does not apply to steadyScenario.
func (p *page) writeAims(w io.Writer) {
	fmt.Fprintf(w, "## Aims: lookups, default policy, load %v%%\n\n", aimLoad)
	writeHeader(w, "scenario", "service", "p99 to p2c, at most 0.5", "p99 to bound, at most 1.3", "probes under 1% of work",
		"refused % default", "refused % p2c")
	for _, k := range p.keys {
		if k.class != table.Lookup || k.cell != (experiment.Cell{Policy: experiment.DefaultPolicy, Load: aimLoad}) {
			continue
		}
		stats := p.stats[k]
		baseline := "not an aim"
		if k.scenario != steadyScenario {
			baseline = verdict(stats.p99ToBaseline.Median, aimToBaseline, stats.hasBaseline)
		}
		writeRow(w, k.scenario, k.service, baseline, verdict(stats.p99ToBound.Median, aimToBound, stats.hasBound),
			verdict(p.costsOf(k.scenario, k.cell).probeShare.Median, aimProbePercent, true),
			fmt.Sprintf("%.2f", stats.refused.Median), p.baselineRefused(k))
	}
	fmt.Fprintln(w)
}

// baselineRefused formats the percentage of requests refused under the baseline
// policy, whose p99 leaves them out.
func (p *page) baselineRefused(k classKey) string {
	k.cell.Policy = baselinePolicy
	stats, ok := p.stats[k]
	if !ok {
		return "not run"
	}
	return fmt.Sprintf("%.2f", stats.refused.Median)
}

// verdict formats a value and whether it meets its aim, which is a maximum. known
// is false if the value was not measured.
func verdict(v, aim float64, known bool) string {
	if !known {
		return "not run"
	}
	if v <= aim {
		return fmt.Sprintf("%.2f met", v)
	}
	excessPercent := min(maxShownPercent, 100*(v/aim-1))
	return fmt.Sprintf("%.2f **missed** by %s%.0f%%", v, lo.Ternary(excessPercent == maxShownPercent, "over ", ""), excessPercent)
}
