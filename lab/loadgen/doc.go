// Package loadgen sends open-loop load: the times of all requests are fixed
// before the run, a late answer delays no later request, and latency counts
// from the time at which a request was meant to start.
//
// Plan draws the requests from a seed; Run sends them and checks that every
// answer is the caller's own and whole; Check holds what callers were told
// against what the targets' run log says; Summarize makes figures a class.
package loadgen
