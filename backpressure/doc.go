// Package backpressure decides what targets may be sent when they ask for less.
//
// A target in need names a rate limit in its responses: the requests a second
// that it takes from all hosts together. One that leaves says so. One host hears
// it and all have to obey it, so an Observation carries the times that order it
// against others and merges to the same result whatever the order of arrival. A
// Book holds the latest one of each target. A target that refuses a request may
// also name a Retry-After, which binds only the host that sent the request.
//
// The package does no I/O and reads no clock.
package backpressure
