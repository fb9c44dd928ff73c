// Package placement chooses the target of a request by the load that the
// targets report at that moment.
//
// The speed of a target changes many times a second, so the load report in an
// earlier response soon says little. Before a request is sent, the Balancer
// queries the load of a few targets in parallel (LoadQuerier) and sends the
// request to the one that is expected to finish it first (target_state.go). A
// report that is a few milliseconds old is reused, plus what this host has sent
// since.
//
// Where no target has a free slot, the request waits in a queue at this host
// while the targets are queried again, until a target has room or the request
// clearly can't be served in time; then it is refused at once (decision.go). How
// long late requests may wait, and when refused callers should come back, follows
// from what arrives and what the targets can serve (demand.go).
// Targets whose calls fail are ejected for a while and then tried with one call
// at a time (health.go), whatever health they report.
//
// Targets that report no load are not queried: for them this host's own request
// counts and latencies decide (call_tracker.go).
//
// A large pool is divided into partitions, each with its own lock, queue and
// query budget (partitions.go).
package placement
