// Package loadgen sends open-loop load: the start times of all requests are
// fixed before the run, a late response does not delay later requests, and
// latency is measured from the planned start of a request.
//
// Plan generates the requests from a seed. Run sends them and checks that every
// response is complete and belongs to its request. Check compares what callers
// were told with the run log of the targets, which records what was executed.
// Summarize computes the statistics of each class.
package loadgen
