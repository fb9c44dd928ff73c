package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	longestLatency    = 10 * time.Minute
	significantDigits = 3
)

// Violations counts broken promises; all must be 0.
type Violations struct {
	// DuplicateOrders counts orders that ran more than once.
	DuplicateOrders int `json:"duplicate_orders"`
	// UntrueNotRun counts requests said not to have run that did.
	UntrueNotRun int `json:"untrue_not_run"`
	// Wrong and Truncated count answers that were not the caller's own, or
	// not whole though they ended cleanly.
	Wrong     int `json:"wrong"`
	Truncated int `json:"truncated"`
}

// Total is the number of broken promises.
func (v Violations) Total() int {
	return v.DuplicateOrders + v.UntrueNotRun + v.Wrong + v.Truncated
}

// Check holds the records against the targets' run log.
func Check(records []Record, log *runlog.Log) Violations {
	v := Violations{DuplicateOrders: log.Totals().DuplicateOrders}
	for _, r := range records {
		switch r.End {
		case NotRun:
			if log.Entry(r.Request.Token).Runs > 0 {
				v.UntrueNotRun++
			}
		case Wrong:
			v.Wrong++
		case Truncated:
			v.Truncated++
		}
	}
	return v
}

// Summary is the figures of one class in one stretch of a run.
type Summary struct {
	Service string         `json:"service"`
	Class   table.Class    `json:"class"`
	Sent    int            `json:"sent"`
	Ends    map[string]int `json:"ends"`
	// Goodput is the number of whole answers a second.
	Goodput float64 `json:"goodput"`
	// Latencies are of whole answers, from the intended start.
	P50  time.Duration `json:"p50_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
	// P99Sent is over all requests sent but copies of orders in flight, with
	// those that got no whole answer last; 0 says that it falls among those.
	P99Sent time.Duration `json:"p99_sent_ns"`
	// Retries counts the arrivals at targets beyond the first of a request.
	Retries int `json:"retries"`
}

// Window is a stretch of a run, by intended start.
type Window struct{ From, To time.Duration }

// Summarize makes figures for each class over the requests of the window. A
// nil log leaves the retries out.
func Summarize(classes []Class, records []Record, log *runlog.Log, w Window) []Summary {
	out := make([]Summary, len(classes))
	hist := make([]*hdrhistogram.Histogram, len(classes))
	for i, c := range classes {
		out[i] = Summary{Service: c.Service, Class: c.Name, Ends: map[string]int{}}
		hist[i] = hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
	}
	for _, r := range records {
		if r.Request.At < w.From || r.Request.At >= w.To {
			continue
		}
		s := &out[r.Request.Class]
		s.Sent++
		s.Ends[r.End.String()]++
		if log != nil {
			s.Retries += max(0, log.Entry(r.Request.Token).Arrivals-1)
		}
		if r.End == Answered {
			_ = hist[r.Request.Class].RecordValue(r.Latency.Microseconds())
		}
	}
	for i := range out {
		out[i].Goodput = float64(out[i].Ends[Answered.String()]) / (w.To - w.From).Seconds()
		out[i].P50 = quantile(hist[i], 50)
		out[i].P99 = quantile(hist[i], 99)
		out[i].P999 = quantile(hist[i], 99.9)
		out[i].P99Sent = quantileOfSent(hist[i], 99, out[i].Sent-out[i].Ends[InFlight.String()])
	}
	return out
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// quantileOfSent is a quantile over all requests sent, of which the histogram
// holds the answered ones; 0 when it falls among the others.
func quantileOfSent(h *hdrhistogram.Histogram, percent float64, sent int) time.Duration {
	rank := percent / 100 * float64(sent)
	answered := float64(h.TotalCount())
	if answered == 0 || rank > answered {
		return 0
	}
	return quantile(h, 100*rank/answered)
}
