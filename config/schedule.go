package config

import "time"

const (
	// MinPoll is the interval between reads of the version row by one host of
	// a small deployment.
	MinPoll = 2 * time.Second
	// MaxPoll bounds the interval, so that a host without peers still learns
	// of a version in time.
	MaxPoll = 8 * time.Second
	// PollReadsPerSecond is what all hosts together read of the version row
	// until MaxPoll is reached.
	PollReadsPerSecond = 50

	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// jitterShare is the spread of intervals and backoffs, as a share.
	jitterShare = 0.2
)

// PollInterval is the time between two reads of the version row by one of the
// given number of hosts, before jitter.
func PollInterval(hosts int) time.Duration {
	shared := time.Duration(hosts) * time.Second / PollReadsPerSecond
	return min(max(shared, MinPoll), MaxPoll)
}

// backoff is the wait after the given number of failures in a row.
func backoff(failures int) time.Duration {
	wait := firstBackoff
	for i := 1; i < failures && wait < maxBackoff; i++ {
		wait *= 2
	}
	return min(wait, maxBackoff)
}
