// Package balance chooses the target of each request.
//
// A Balancer holds one shard per pool, each under its own lock and with its
// own seeded random numbers. Time enters with every call, so that a test or
// bench drives it without a clock. A choice has two steps: the shard lists
// the targets that may take new work (not leaving, not excluded, not set
// aside), and a Policy chooses among them from what is known of each.
//
// A leaving target gets no new work from the moment that any of four sources
// says so: an answer with the draining mark, a peer, the operator's drain key
// or the host list.
package balance
