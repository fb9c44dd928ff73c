package load

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// MaxReportBytes is the length above which a report is rejected without being
// parsed.
const MaxReportBytes = 4096

// MaxCount is the highest valid number of requests in flight or queued. A target
// accepts far fewer connections.
const MaxCount = 10_000

// maxSlowdown is the highest valid slowdown.
const maxSlowdown = 1000

// maxUtilization is the highest valid utilization. ORCA lets an application report
// more than 1 when it is overloaded.
const maxUtilization = 100

// The names of the metrics that Parse uses, and the prefixes of the forms.
const (
	metricInFlight    = "in_flight"
	metricQueued      = "queued"
	metricSlots       = "slots"
	metricSlowdown    = "slowdown"
	metricUtilization = "application_utilization"
	namedPrefix       = "named_metrics."
	textPrefix        = "TEXT "
	jsonPrefix        = "JSON "
)

// Absent is the value of a count that a report does not contain.
const Absent = -1

// The errors of Parse, to be tested with errors.Is.
var (
	// ErrOversize: the report is longer than MaxReportBytes.
	ErrOversize = errors.New("load report too long")
	// ErrSyntax: the report is in neither the text nor the JSON form.
	ErrSyntax = errors.New("load report malformed")
	// ErrOutOfRange: a used metric is negative, not finite or too large.
	ErrOutOfRange = errors.New("load report value out of range")
)

// Report is one load report of a target.
type Report struct {
	// InFlight is the number of requests being served, each in one slot; Absent
	// when not reported.
	InFlight int
	// Queued is the number of requests that wait for a slot; Absent when not
	// reported.
	Queued int
	// Utilization is the share of the slots in use, more than 1 in overload;
	// negative when not reported.
	Utilization float64
	// Slots is the number of requests that the target serves concurrently; 0
	// when not reported.
	Slots int
	// Slowdown is the current service time divided by the usual one; 0 when not
	// reported.
	Slowdown float64
}

// Empty reports whether the report contains neither counts nor a utilization.
func (r Report) Empty() bool {
	return r.InFlight == Absent && r.Queued == Absent && r.Utilization < 0
}

// Count returns the number of requests at a target with the given number of slots,
// including queued requests, as far as the report shows it. ok is false when it
// doesn't.
func (r Report) Count(slots int) (n int, ok bool) {
	switch {
	case r.InFlight != Absent:
		return r.InFlight + max(r.Queued, 0), true
	case r.Utilization >= 0:
		return int(math.Round(r.Utilization * float64(slots))), true
	case r.Queued > 0:
		return slots + r.Queued, true
	default:
		return 0, false
	}
}

// Parse parses a report in the text form ("TEXT name=value, ...", the prefix being
// optional) or the JSON form ("JSON {...}" or only the object). Other metrics are
// ignored. The error matches ErrOversize, ErrSyntax or ErrOutOfRange.
func Parse(s string) (Report, error) {
	if len(s) > MaxReportBytes {
		return Report{}, errors.Wrapf(ErrOversize, "%d bytes, at most %d", len(s), MaxReportBytes)
	}
	s = strings.TrimSpace(s)
	switch {
	case strings.HasPrefix(s, jsonPrefix):
		return parseJSON(s[len(jsonPrefix):])
	case strings.HasPrefix(s, "{"):
		return parseJSON(s)
	default:
		return parseText(strings.TrimPrefix(s, textPrefix))
	}
}

func emptyReport() Report {
	return Report{InFlight: Absent, Queued: Absent, Utilization: Absent}
}

func parseText(s string) (Report, error) {
	r := emptyReport()
	for pair := range strings.SplitSeq(s, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found {
			return Report{}, errors.Wrap(ErrSyntax, "expected name=value, ...")
		}
		name = strings.TrimSpace(name)
		if !isUsedMetric(name) {
			continue
		}
		f, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			return Report{}, errors.Wrapf(ErrSyntax, "%s is not a number", name)
		}
		if err := r.setMetric(strings.TrimPrefix(name, namedPrefix), f); err != nil {
			return Report{}, err
		}
	}
	return r, nil
}

func isUsedMetric(name string) bool {
	switch name {
	case metricUtilization, namedPrefix + metricInFlight, namedPrefix + metricQueued,
		namedPrefix + metricSlots, namedPrefix + metricSlowdown:
		return true
	default:
		return false
	}
}

func (r *Report) setMetric(metric string, f float64) error {
	limit := float64(MaxCount)
	switch metric {
	case metricUtilization:
		limit = maxUtilization
	case metricSlowdown:
		limit = maxSlowdown
	}
	if math.IsNaN(f) || f < 0 || f > limit {
		return errors.Wrapf(ErrOutOfRange, "%s is %g, expected 0 to %g", metric, f, limit)
	}
	switch metric {
	case metricUtilization:
		r.Utilization = f
	case metricInFlight:
		r.InFlight = int(math.Round(f))
	case metricQueued:
		r.Queued = int(math.Round(f))
	case metricSlots:
		r.Slots = int(math.Round(f))
	case metricSlowdown:
		r.Slowdown = f
	}
	return nil
}

type jsonReport struct {
	Utilization *float64           `json:"application_utilization"`
	Named       map[string]float64 `json:"named_metrics"`
}

func parseJSON(s string) (Report, error) {
	var j jsonReport
	if err := json.Unmarshal([]byte(s), &j); err != nil {
		return Report{}, errors.Wrap(ErrSyntax, err.Error())
	}
	r := emptyReport()
	if j.Utilization != nil {
		if err := r.setMetric(metricUtilization, *j.Utilization); err != nil {
			return Report{}, err
		}
	}
	for _, name := range []string{metricInFlight, metricQueued, metricSlots, metricSlowdown} {
		f, ok := j.Named[name]
		if !ok {
			continue
		}
		if err := r.setMetric(name, f); err != nil {
			return Report{}, err
		}
	}
	return r, nil
}
