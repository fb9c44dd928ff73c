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

// Spread is the median, minimum and maximum of a value over the repeats.
type Spread struct{ Median, Low, High float64 }

func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	s := slices.Sorted(slices.Values(values))
	middle := len(s) / 2
	median := s[middle]
	if len(s)%2 == 0 {
		median = (s[middle-1] + s[middle]) / 2
	}
	return Spread{Median: median, Low: s[0], High: s[len(s)-1]}
}

// String formats the spread as "median (minimum–maximum)".
func (s Spread) String() string {
	return fmt.Sprintf("%.1f (%.1f–%.1f)", s.Median, s.Low, s.High)
}

// classKey identifies one class in one cell of one scenario.
type classKey struct {
	scenario string
	cell     experiment.Cell
	service  string
	class    table.Class
}

// classStats are the statistics of a class over the repeats. Latencies are in
// milliseconds, goodput in requests per second; refused, failedOrUnknown and retries
// are in percent of the requests sent.
type classStats struct {
	p50, p99, p999                    Spread
	goodput                           Spread
	refused, failedOrUnknown, retries Spread
	p99ToBaseline, p99ToBound         Spread
	boundP99, p99Sent                 Spread
	// unanswered is true if, in any repeat, the p99 of all requests sent falls on a
	// request without a response.
	unanswered            bool
	hasBaseline, hasBound bool
}

// page is the content of the report.
type page struct {
	name      string
	results   []experiment.Result
	scenarios []string
	keys      []classKey
	stats     map[classKey]classStats
}

// newPage computes the content of the report from at least one result.
func newPage(results []experiment.Result) *page {
	p := &page{name: results[0].Experiment, results: results, stats: map[classKey]classStats{}}
	p.scenarios = lo.Uniq(lo.Map(results, func(r experiment.Result, _ int) string { return r.Scenario }))
	for _, r := range results {
		for _, s := range r.Classes {
			k := classKey{r.Scenario, r.Cell, s.Service, s.Class}
			if _, ok := p.stats[k]; !ok {
				p.keys = append(p.keys, k)
				p.stats[k] = p.statsOf(k)
			}
		}
	}
	return p
}

// spreadOf returns the spread of one value per repeat. Runs for which f returns false
// are left out.
func (p *page) spreadOf(k classKey, f func(r experiment.Result, s loadgen.Summary) (float64, bool)) Spread {
	var values []float64
	for _, r := range p.results {
		if r.Scenario != k.scenario || r.Cell != k.cell {
			continue
		}
		if s, ok := summaryOf(r, k); ok {
			if v, ok := f(r, s); ok {
				values = append(values, v)
			}
		}
	}
	return newSpread(values)
}

func summaryOf(r experiment.Result, k classKey) (loadgen.Summary, bool) {
	return lo.Find(r.Classes, func(s loadgen.Summary) bool { return s.Service == k.service && s.Class == k.class })
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func (p *page) statsOf(k classKey) classStats {
	spread := func(f func(s loadgen.Summary) float64) Spread {
		return p.spreadOf(k, func(_ experiment.Result, s loadgen.Summary) (float64, bool) { return f(s), true })
	}
	outcomePercent := func(s loadgen.Summary, es ...loadgen.Outcome) float64 {
		return percent(lo.SumBy(es, func(e loadgen.Outcome) int { return s.Outcomes[e.String()] }), s.Sent)
	}
	stats := classStats{
		p50:     spread(func(s loadgen.Summary) float64 { return milliseconds(s.P50) }),
		p99:     spread(func(s loadgen.Summary) float64 { return milliseconds(s.P99) }),
		p999:    spread(func(s loadgen.Summary) float64 { return milliseconds(s.P999) }),
		goodput: spread(func(s loadgen.Summary) float64 { return s.Goodput }),
		refused: spread(func(s loadgen.Summary) float64 { return outcomePercent(s, loadgen.NotRun) }),
		failedOrUnknown: spread(func(s loadgen.Summary) float64 {
			return outcomePercent(s, loadgen.Unknown, loadgen.Failed, loadgen.Lost)
		}),
		retries: spread(func(s loadgen.Summary) float64 { return percent(s.Retries, s.Sent) }),
	}
	stats.p99ToBaseline = p.spreadOf(k, func(r experiment.Result, s loadgen.Summary) (float64, bool) {
		base, ok := p.baseline(r, k)
		stats.hasBaseline = stats.hasBaseline || ok
		return ratio(s.P99, base), ok
	})
	stats.p99ToBound = p.spreadOf(k, func(r experiment.Result, s loadgen.Summary) (float64, bool) {
		bound, ok := boundOf(r, k)
		stats.hasBound = stats.hasBound || ok
		return ratio(s.P99, bound), ok
	})
	stats.p99Sent = spread(func(s loadgen.Summary) float64 {
		stats.unanswered = stats.unanswered || s.P99OfAllSent == 0
		return milliseconds(s.P99OfAllSent)
	})
	stats.boundP99 = p.spreadOf(k, func(r experiment.Result, _ loadgen.Summary) (float64, bool) {
		bound, ok := boundOf(r, k)
		return milliseconds(bound), ok
	})
	return stats
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// baselinePolicy is the policy that the default policy is compared with.
const baselinePolicy = "p2c"

// baseline returns the p99 of the class under the baseline policy in the same repeat
// as r. It returns false if there is none.
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
