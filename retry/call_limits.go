package retry

import (
	"strconv"
	"time"
)

// Headers that carry CallLimits.
const (
	// DeadlineHeader holds the remaining time in milliseconds.
	DeadlineHeader = "Chestnut-Deadline-Ms"
	// RetriesHeader holds the number of retries left to the receiver.
	RetriesHeader = "Chestnut-Retries"
)

// maxDeadlineMs is the largest value taken from DeadlineHeader, 24 hours in
// milliseconds, so that it can't overflow a time.Duration.
const maxDeadlineMs = 24 * 60 * 60 * 1000

// CallLimits are the remaining time and retries of a call.
type CallLimits struct {
	// Deadline is the time after which the caller no longer waits for the response.
	Deadline time.Time
	// Retries is the number of further attempts that this host may make.
	Retries int
}

// RouteLimits are the limits that a route sets for its calls.
type RouteLimits struct {
	Timeout time.Duration
	Retries int
}

// ParseCallLimits returns the limits of a call that arrives now: those of its
// route, lowered to the values of its DeadlineHeader and RetriesHeader. A header
// can't raise a limit; one that is empty or not a non-negative integer is
// ignored.
func ParseCallLimits(now time.Time, route RouteLimits, deadlineMs, retries string) CallLimits {
	l := CallLimits{Deadline: now.Add(route.Timeout), Retries: max(route.Retries, 0)}
	if ms, ok := parseCount(deadlineMs, maxDeadlineMs); ok {
		requested := now.Add(time.Duration(ms) * time.Millisecond)
		if requested.Before(l.Deadline) {
			l.Deadline = requested
		}
	}
	if n, ok := parseCount(retries, l.Retries); ok {
		l.Retries = n
	}
	return l
}

// parseCount parses a non-negative integer and caps it at limit.
func parseCount(s string, limit int) (int, bool) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, false
	}
	return int(min(n, uint64(limit))), true
}

// Remaining returns the time until the deadline, 0 after it.
func (l CallLimits) Remaining(now time.Time) time.Duration {
	return max(l.Deadline.Sub(now), 0)
}

// DeadlineHeaderValue returns the value of DeadlineHeader for an attempt that
// starts now, rounded down to milliseconds.
func (l CallLimits) DeadlineHeaderValue(now time.Time) string {
	return strconv.FormatInt(l.Remaining(now).Milliseconds(), 10)
}

// RetriesHeaderValue returns the value of RetriesHeader for an attempt; received
// is the header's value on the incoming call. A host that may retry sends 0, so
// that the hosts below don't retry; otherwise it forwards the received value.
// send is false when the header should be omitted, which leaves the hosts below
// their own retries.
func (l CallLimits) RetriesHeaderValue(received string) (value string, send bool) {
	if l.Retries > 0 {
		return "0", true
	}
	if n, ok := parseCount(received, maxForwardedRetries); ok {
		return strconv.Itoa(n), true
	}
	return "", false
}

// maxForwardedRetries is the largest value of RetriesHeader that is forwarded.
const maxForwardedRetries = 10
