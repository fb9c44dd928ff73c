package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// longestLatency is the highest latency that the histograms can hold.
	longestLatency    = 10 * time.Minute
	significantDigits = 3
)

// Violations counts violated guarantees; all must be 0.
type Violations struct {
	// DuplicateOrders is the number of orders that ran more than once.
	DuplicateOrders int `json:"duplicate_orders"`
	// UntrueNotRun is the number of requests that ran although their callers
	// were told that they had not.
	UntrueNotRun int `json:"untrue_not_run"`
	// Wrong and Truncated count bodies that were not the response to their request,
	// and responses that were incomplete although they ended without an error.
	Wrong     int `json:"wrong"`
	Truncated int `json:"truncated"`
}

// Total returns the number of violations.
func (v Violations) Total() int {
	return v.DuplicateOrders + v.UntrueNotRun + v.Wrong + v.Truncated
}

// Check compares the records with the run log of the targets.
func Check(records []Record, log *runlog.Log) Violations {
	v := Violations{DuplicateOrders: log.Totals().DuplicateOrders}
	for _, r := range records {
		switch r.Outcome {
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

// Summary holds the statistics of one class in one window of a run.
type Summary struct {
	Service  string         `json:"service"`
	Class    table.Class    `json:"class"`
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"ends"`
	// Goodput is the number of complete responses per second.
	Goodput float64 `json:"goodput"`
	// P50, P99 and P999 are latency percentiles of the complete responses,
	// measured from the planned start.
	P50  time.Duration `json:"p50_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
	// P99OfAllSent is the 99th percentile over all requests sent except those
	// that ended InFlight. Requests without a complete response rank after all
	// others; 0 means that the percentile falls among them.
	P99OfAllSent time.Duration `json:"p99_sent_ns"`
	// Retries is the number of arrivals at targets beyond the first arrival of
	// each request.
	Retries int `json:"retries"`
}

// Window selects the requests with a planned start from From until To (excluded),
// as offsets from the start of the run.
type Window struct{ From, To time.Duration }

// Summarize computes the statistics of each class over the requests of the
// window. A nil log leaves Retries at 0.
func Summarize(classes []Class, records []Record, log *runlog.Log, w Window) []Summary {
	out := make([]Summary, len(classes))
	hist := make([]*hdrhistogram.Histogram, len(classes))
	for i, c := range classes {
		out[i] = Summary{Service: c.Service, Class: c.Name, Outcomes: map[string]int{}}
		hist[i] = hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
	}
	for _, r := range records {
		if r.Request.At < w.From || r.Request.At >= w.To {
			continue
		}
		s := &out[r.Request.Class]
		s.Sent++
		s.Outcomes[r.Outcome.String()]++
		if log != nil {
			s.Retries += max(0, log.Entry(r.Request.Token).Arrivals-1)
		}
		if r.Outcome == Answered {
			_ = hist[r.Request.Class].RecordValue(r.Latency.Microseconds())
		}
	}
	for i := range out {
		out[i].Goodput = float64(out[i].Outcomes[Answered.String()]) / (w.To - w.From).Seconds()
		out[i].P50 = quantile(hist[i], 50)
		out[i].P99 = quantile(hist[i], 99)
		out[i].P999 = quantile(hist[i], 99.9)
		out[i].P99OfAllSent = quantileOfSent(hist[i], 99, out[i].Sent-out[i].Outcomes[InFlight.String()])
	}
	return out
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// quantileOfSent returns a percentile over all requests sent. The histogram holds
// the answered ones; the result is 0 when the percentile falls among the others.
func quantileOfSent(h *hdrhistogram.Histogram, percent float64, sent int) time.Duration {
	rank := percent / 100 * float64(sent)
	answered := float64(h.TotalCount())
	if answered == 0 || rank > answered {
		return 0
	}
	return quantile(h, 100*rank/answered)
}
