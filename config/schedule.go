package config

import "time"

const (
	// MinPollInterval is the interval between two reads of the version row by
	// one host of a small deployment.
	MinPollInterval = 2 * time.Second
	// MaxPollInterval bounds the interval in a large deployment, so that a
	// host without peers still learns of a new version in time.
	MaxPollInterval = 8 * time.Second
	// TotalPollsPerSecond bounds the rate at which all hosts together read the
	// version row. Only deployments so large that MaxPollInterval applies
	// exceed it.
	TotalPollsPerSecond = 50

	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// jitterShare is the largest random deviation of intervals and backoffs,
	// up or down, as a fraction of them.
	jitterShare = 0.2
)

// PollInterval returns the time between two reads of the version row by one
// host, before jitter, when the given number of hosts poll.
func PollInterval(hosts int) time.Duration {
	interval := time.Duration(hosts) * time.Second / TotalPollsPerSecond
	return min(max(interval, MinPollInterval), MaxPollInterval)
}

// backoff returns the wait after the given number of failures in a row, before
// jitter.
func backoff(failures int) time.Duration {
	wait := firstBackoff
	for i := 1; i < failures && wait < maxBackoff; i++ {
		wait *= 2
	}
	return min(wait, maxBackoff)
}
