package backpressure

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxPerSecond is the greatest rate limit that is accepted, in requests a
	// second: far above what one target can serve.
	MaxPerSecond = 1e6
	// MaxRetryAfter is the longest Retry-After of a target that is accepted.
	MaxRetryAfter = time.Hour
	// MaxWarmup is the longest rest of a warm-up that is accepted.
	MaxWarmup = time.Hour
)

// ErrInvalidHeader means that a header with which a target asks for fewer
// requests is malformed.
var ErrInvalidHeader = errors.New("header of a target is malformed")

// ParseRate parses the values of the rate limit header of one response: exactly
// one decimal number of requests a second.
func ParseRate(values []string) (float64, error) {
	rate, err := parseNumber(values, MaxPerSecond)
	return rate, errors.Wrap(err, "rate limit")
}

// ParseRetryAfter parses the values of the Retry-After header of one response:
// exactly one decimal number of seconds.
func ParseRetryAfter(values []string) (time.Duration, error) {
	n, err := parseNumber(values, MaxRetryAfter.Seconds())
	return seconds(n), errors.Wrap(err, "Retry-After")
}

// ParseWarmup parses the values of the warm-up header of one response: exactly one
// decimal number of milliseconds.
func ParseWarmup(values []string) (time.Duration, error) {
	n, err := parseNumber(values, float64(MaxWarmup.Milliseconds()))
	return time.Duration(n * float64(time.Millisecond)), errors.Wrap(err, "rest of the warm-up")
}

// parseNumber parses exactly one decimal number from 0 to greatest.
func parseNumber(values []string, greatest float64) (float64, error) {
	if len(values) != 1 {
		return 0, errors.Wrapf(ErrInvalidHeader, "got %d values; expected one", len(values))
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(n) || n < 0 || n > greatest {
		return 0, errors.Wrapf(ErrInvalidHeader, "got %.40q; expected a decimal number from 0 to %.0f", values[0], greatest)
	}
	return n, nil
}
