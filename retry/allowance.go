package retry

import (
	"strconv"
	"time"
)

// The headers that carry an Allowance.
const (
	// DeadlineHeader holds the remaining time in milliseconds.
	DeadlineHeader = "Chestnut-Deadline-Ms"
	// RetriesHeader holds the number of retries left to the receiver.
	RetriesHeader = "Chestnut-Retries"
)

// maxTimeoutMs bounds the value of DeadlineHeader, so that it can't overflow
// a time.Duration.
const maxTimeoutMs = 24 * 60 * 60 * 1000

// Allowance is what a call may still spend.
type Allowance struct {
	// Deadline is the time after which nobody waits for the answer.
	Deadline time.Time
	// Retries is the number of further attempts that this host may make.
	Retries int
}

// Route is the part of a route that bounds its calls.
type Route struct {
	Timeout time.Duration
	Retries int
}

// Receive returns the allowance of a call: the route's bounds, shortened by
// what the call's headers ask for. A header can only ask for less; one that is
// empty or no whole number from 0 asks for nothing.
func Receive(now time.Time, route Route, deadlineMs, retries string) Allowance {
	a := Allowance{Deadline: now.Add(route.Timeout), Retries: max(route.Retries, 0)}
	if ms, ok := parseCount(deadlineMs, maxTimeoutMs); ok {
		asked := now.Add(time.Duration(ms) * time.Millisecond)
		if asked.Before(a.Deadline) {
			a.Deadline = asked
		}
	}
	if n, ok := parseCount(retries, a.Retries); ok {
		a.Retries = n
	}
	return a
}

// parseCount reads a whole number from 0, held at limit.
func parseCount(s string, limit int) (int, bool) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, false
	}
	return int(min(n, uint64(limit))), true
}

// Remaining returns the time left, never negative.
func (a Allowance) Remaining(now time.Time) time.Duration {
	return max(a.Deadline.Sub(now), 0)
}

// SendDeadline returns the value of DeadlineHeader for an attempt that starts
// now, rounded down.
func (a Allowance) SendDeadline(now time.Time) string {
	return strconv.FormatInt(a.Remaining(now).Milliseconds(), 10)
}

// SendRetries returns the value of RetriesHeader for an attempt. A host that
// keeps retries for itself leaves none to those below; send is false when the
// header is to be left out, which leaves those below their own. received is
// the value of the header on the call.
func (a Allowance) SendRetries(received string) (value string, send bool) {
	if a.Retries > 0 {
		return "0", true
	}
	if n, ok := parseCount(received, maxPassedRetries); ok {
		return strconv.Itoa(n), true
	}
	return "", false
}

// maxPassedRetries bounds a value that is passed on.
const maxPassedRetries = 10
