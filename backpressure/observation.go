package backpressure

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Observation is what one response of a target shows about its rate limit.
// Times are on the clock of the host that holds it.
type Observation struct {
	// Limited is true when the response named a limit: PerSecond requests a
	// second from all hosts together.
	Limited   bool
	PerSecond float64
	// SentAt is when the request was sent, HeardAt when the header of its
	// response arrived.
	SentAt, HeardAt time.Time
}

// Merge returns the observation that holds when a and b are known, in any order
// of arrival. The latest limit holds until a request that was sent after it was
// heard gets a response without one: earlier responses may have been written
// before the target named its limit.
func Merge(a, b Observation) Observation {
	switch {
	case a.Limited && b.Limited:
		if b.HeardAt.After(a.HeardAt) {
			return b
		}
		return a
	case !a.Limited && !b.Limited:
		if b.SentAt.After(a.SentAt) {
			return b
		}
		return a
	case b.Limited:
		a, b = b, a
	}
	if b.SentAt.After(a.HeardAt) {
		return b
	}
	return a
}

// Same reports whether two observations say the same of the target, whatever
// their times.
func (o Observation) Same(other Observation) bool {
	return o.Limited == other.Limited && o.PerSecond == other.PerSecond
}

// MaxPerSecond is the greatest rate limit that is accepted, in requests a
// second: far above what one target can serve.
const MaxPerSecond = 1e6

// ErrInvalidRate means that a rate limit is malformed.
var ErrInvalidRate = errors.New("rate limit is malformed; expected a decimal number of requests a second from 0 to 1000000")

// ParseRates parses the values of the rate limit header of one response: exactly
// one decimal number of requests a second.
func ParseRates(values []string) (float64, error) {
	if len(values) != 1 {
		return 0, errors.Wrapf(ErrInvalidRate, "%d values", len(values))
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(rate) || rate < 0 || rate > MaxPerSecond {
		return 0, errors.Wrapf(ErrInvalidRate, "%.40q", values[0])
	}
	return rate, nil
}
