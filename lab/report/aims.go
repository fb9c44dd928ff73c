package report

import (
	"fmt"
	"io"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/table"
)

// The aims that the users stated for lookups under the default policy.
const (
	aimLoad          = 85.0
	aimToBaseline    = 0.5
	aimToBound       = 1.3
	aimProbePercent  = 1.0
	steadyScenario   = "steady"
	percentToShowMax = 1000.0
)

// writeAims says which aims are met and by how much others are missed.
func (p *page) writeAims(w io.Writer) {
	fmt.Fprintf(w, "## Aims: lookups, default policy, load %v%%\n\n", aimLoad)
	writeHead(w, "scenario", "service", "p99 to p2c, at most 0.5", "p99 to bound, at most 1.3", "probes under 1% of work",
		"refused % default", "refused % p2c")
	for _, k := range p.keys {
		if k.class != table.Lookup || k.cell != (experiment.Cell{Policy: experiment.DefaultPolicy, Load: aimLoad}) {
			continue
		}
		f := p.figures[k]
		baseline := "not an aim"
		if k.scenario != steadyScenario {
			baseline = verdict(f.toBaseline.Median, aimToBaseline, f.hasBaseline)
		}
		writeRow(w, k.scenario, k.service, baseline, verdict(f.toBound.Median, aimToBound, f.hasBound),
			verdict(p.costsOf(k.scenario, k.cell).probeShare.Median, aimProbePercent, true),
			fmt.Sprintf("%.2f", f.refused.Median), p.baselineRefused(k))
	}
	fmt.Fprintln(w)
}

// baselineRefused is the share of requests that the baseline refused, which its
// p99 leaves out.
func (p *page) baselineRefused(k classKey) string {
	k.cell.Policy = baselinePolicy
	f, ok := p.figures[k]
	if !ok {
		return "not run"
	}
	return fmt.Sprintf("%.2f", f.refused.Median)
}

// verdict compares a figure with its aim.
func verdict(v, aim float64, known bool) string {
	if !known {
		return "not run"
	}
	if v <= aim {
		return fmt.Sprintf("%.2f met", v)
	}
	over := min(percentToShowMax, 100*(v/aim-1))
	return fmt.Sprintf("%.2f **missed** by %s%.0f%%", v, lo.Ternary(over == percentToShowMax, "over ", ""), over)
}
