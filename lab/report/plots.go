package report

import (
	"fmt"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 0.5 * vg.Centimeter
	boundName  = "bound (computed)"
)

// lookupServices returns the services that have lookups.
func (p *page) lookupServices() []string {
	return lo.Uniq(lo.FilterMap(p.keys, func(k classKey, _ int) (string, bool) { return k.service, k.class == table.Lookup }))
}

// writePlots writes plots of the p99 of lookups by scenario and by load for each
// service and returns the names of the files. Plots without data are left out.
func (p *page) writePlots(dir string) ([]string, error) {
	var names []string
	for _, service := range p.lookupServices() {
		for _, makePlot := range []func(string) (*plot.Plot, string, error){p.scenarioPlot, p.loadPlot} {
			pl, name, err := makePlot(service)
			if err != nil {
				return nil, errors.Wrap(err, "plot")
			}
			if pl == nil {
				continue
			}
			if err := pl.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
				return nil, errors.Wrap(err, "plot")
			}
			names = append(names, name)
		}
	}
	return names, nil
}

func newPlot(title, x string) *plot.Plot {
	pl := plot.New()
	pl.Title.Text = title
	pl.X.Label.Text = x
	pl.Y.Label.Text = "p99, ms from the intended start"
	pl.Y.Min = 0
	pl.Legend.Top = true
	return pl
}

// scenarioPlot returns a bar chart of the default policy, the baseline policy and the
// bound for each scenario, and its file name. The plot is nil if the default policy
// was not run at aimLoad.
func (p *page) scenarioPlot(service string) (*plot.Plot, string, error) {
	key := func(scenario, policy string) classKey {
		return classKey{scenario, experiment.Cell{Policy: policy, Load: aimLoad}, service, table.Lookup}
	}
	shown := lo.Filter(p.scenarios, func(s string, _ int) bool {
		_, ok := p.stats[key(s, experiment.DefaultPolicy)]
		return ok
	})
	if len(shown) == 0 {
		return nil, "", nil
	}
	pl := newPlot(fmt.Sprintf("%s: lookups of %s at %v%% load", p.name, service, aimLoad), "scenario")
	values := func(f func(s string) float64) plotter.Values {
		return lo.Map(shown, func(s string, _ int) float64 { return f(s) })
	}
	series := []struct {
		name   string
		values plotter.Values
	}{
		{experiment.DefaultPolicy, values(func(s string) float64 { return p.stats[key(s, experiment.DefaultPolicy)].p99.Median })},
		{baselinePolicy, values(func(s string) float64 { return p.stats[key(s, baselinePolicy)].p99.Median })},
		{boundName, values(func(s string) float64 { return p.stats[key(s, experiment.DefaultPolicy)].boundP99.Median })},
	}
	for i, g := range series {
		bars, err := plotter.NewBarChart(g.values, barWidth)
		if err != nil {
			return nil, "", err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(i-1)
		pl.Add(bars)
		pl.Legend.Add(g.name, bars)
	}
	pl.NominalX(shown...)
	return pl, "scenarios-" + service + ".png", nil
}

// loadPlot returns a line chart of the policies over the load in steadyScenario, and
// its file name. The plot is nil if that scenario was not run.
func (p *page) loadPlot(service string) (*plot.Plot, string, error) {
	lines := map[string]plotter.XYs{}
	var policies []string
	for _, k := range p.keys {
		if k.scenario != steadyScenario || k.service != service || k.class != table.Lookup {
			continue
		}
		stats := p.stats[k]
		if _, ok := lines[k.cell.Policy]; !ok {
			policies = append(policies, k.cell.Policy)
		}
		lines[k.cell.Policy] = append(lines[k.cell.Policy], plotter.XY{X: k.cell.Load, Y: stats.p99.Median})
		if k.cell.Policy == experiment.DefaultPolicy {
			lines[boundName] = append(lines[boundName], plotter.XY{X: k.cell.Load, Y: stats.boundP99.Median})
		}
	}
	if len(policies) == 0 {
		return nil, "", nil
	}
	pl := newPlot(fmt.Sprintf("%s: lookups of %s, steady", p.name, service), "load, % of slot capacity")
	if len(lines[boundName]) > 0 {
		policies = append(policies, boundName)
	}
	var args []any
	for _, name := range policies {
		args = append(args, name, lines[name])
	}
	return pl, "loads-" + service + ".png", plotutil.AddLinePoints(pl, args...)
}
