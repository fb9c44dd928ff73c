package report

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/table"
)

// Spread is the median of a figure over the repeats, with its extremes.
type Spread struct{ Median, Low, High float64 }

func spreadOf(vs []float64) Spread {
	if len(vs) == 0 {
		return Spread{}
	}
	s := slices.Sorted(slices.Values(vs))
	mid := len(s) / 2
	median := s[mid]
	if len(s)%2 == 0 {
		median = (s[mid-1] + s[mid]) / 2
	}
	return Spread{Median: median, Low: s[0], High: s[len(s)-1]}
}

// String shows the median and the extremes.
func (s Spread) String() string {
	return fmt.Sprintf("%.1f (%.1f–%.1f)", s.Median, s.Low, s.High)
}

// classKey names one class in one cell of one scenario.
type classKey struct {
	scenario string
	cell     experiment.Cell
	service  string
	class    table.Class
}

// classFigures are the figures of a class over the repeats; times are in
// milliseconds, shares in percent of the requests sent.
type classFigures struct {
	p50, p99, p999       Spread
	goodput              Spread
	refused, lost, retry Spread
	toBaseline, toBound  Spread
	boundP99, p99Sent    Spread
	// unanswered is true when the p99 of all sent falls among the requests
	// without an answer, in any repeat.
	unanswered            bool
	hasBaseline, hasBound bool
}

// page is everything that the report shows.
type page struct {
	name      string
	results   []experiment.Result
	scenarios []string
	keys      []classKey
	figures   map[classKey]classFigures
}

// newPage computes all figures.
func newPage(results []experiment.Result) *page {
	p := &page{name: results[0].Experiment, results: results, figures: map[classKey]classFigures{}}
	p.scenarios = lo.Uniq(lo.Map(results, func(r experiment.Result, _ int) string { return r.Scenario }))
	for _, r := range results {
		for _, s := range r.Classes {
			k := classKey{r.Scenario, r.Cell, s.Service, s.Class}
			if _, ok := p.figures[k]; !ok {
				p.keys = append(p.keys, k)
				p.figures[k] = p.figuresOf(k)
			}
		}
	}
	return p
}

// samples collects one value a repeat; runs for which f has none are left out.
func (p *page) samples(k classKey, f func(r experiment.Result, s loadgen.Summary) (float64, bool)) Spread {
	var vs []float64
	for _, r := range p.results {
		if r.Scenario != k.scenario || r.Cell != k.cell {
			continue
		}
		if s, ok := summaryOf(r, k); ok {
			if v, ok := f(r, s); ok {
				vs = append(vs, v)
			}
		}
	}
	return spreadOf(vs)
}

func summaryOf(r experiment.Result, k classKey) (loadgen.Summary, bool) {
	return lo.Find(r.Classes, func(s loadgen.Summary) bool { return s.Service == k.service && s.Class == k.class })
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func (p *page) figuresOf(k classKey) classFigures {
	plain := func(f func(s loadgen.Summary) float64) Spread {
		return p.samples(k, func(_ experiment.Result, s loadgen.Summary) (float64, bool) { return f(s), true })
	}
	ends := func(s loadgen.Summary, es ...loadgen.End) float64 {
		return percent(lo.SumBy(es, func(e loadgen.End) int { return s.Ends[e.String()] }), s.Sent)
	}
	f := classFigures{
		p50:     plain(func(s loadgen.Summary) float64 { return millis(s.P50) }),
		p99:     plain(func(s loadgen.Summary) float64 { return millis(s.P99) }),
		p999:    plain(func(s loadgen.Summary) float64 { return millis(s.P999) }),
		goodput: plain(func(s loadgen.Summary) float64 { return s.Goodput }),
		refused: plain(func(s loadgen.Summary) float64 { return ends(s, loadgen.NotRun) }),
		lost:    plain(func(s loadgen.Summary) float64 { return ends(s, loadgen.Unknown, loadgen.Failed, loadgen.Lost) }),
		retry:   plain(func(s loadgen.Summary) float64 { return percent(s.Retries, s.Sent) }),
	}
	f.toBaseline = p.samples(k, func(r experiment.Result, s loadgen.Summary) (float64, bool) {
		base, ok := p.baseline(r, k)
		f.hasBaseline = f.hasBaseline || ok
		return ratio(s.P99, base), ok
	})
	f.toBound = p.samples(k, func(r experiment.Result, s loadgen.Summary) (float64, bool) {
		bound, ok := boundOf(r, k)
		f.hasBound = f.hasBound || ok
		return ratio(s.P99, bound), ok
	})
	f.p99Sent = plain(func(s loadgen.Summary) float64 {
		f.unanswered = f.unanswered || s.P99Sent == 0
		return millis(s.P99Sent)
	})
	f.boundP99 = p.samples(k, func(r experiment.Result, _ loadgen.Summary) (float64, bool) {
		bound, ok := boundOf(r, k)
		return millis(bound), ok
	})
	return f
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// baselinePolicy is the policy that ratios are taken against.
const baselinePolicy = "p2c"

// baseline is the p99 of the class under the baseline policy in the same
// repeat.
func (p *page) baseline(r experiment.Result, k classKey) (time.Duration, bool) {
	cell := experiment.Cell{Policy: baselinePolicy, Load: k.cell.Load}
	other, ok := lo.Find(p.results, func(o experiment.Result) bool {
		return o.Scenario == k.scenario && o.Cell == cell && o.Repeat == r.Repeat
	})
	if !ok {
		return 0, false
	}
	s, ok := summaryOf(other, k)
	return s.P99, ok && s.P99 > 0
}

func boundOf(r experiment.Result, k classKey) (time.Duration, bool) {
	b, ok := lo.Find(r.Bound, func(b experiment.BoundSummary) bool {
		return b.Service == k.service && b.Class == string(k.class)
	})
	return b.P99, ok && b.P99 > 0
}
