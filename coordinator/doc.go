// Package coordinator lets one host, the coordinator, place the requests of a
// pool, or of one partition of a large pool, for all hosts. Metrics, log fields
// and messages call the coordinator "desk".
//
// The free capacity of a target is known exactly only to a host that sends it
// all its requests. So the hosts agree on one coordinator for each partition of
// a pool (package roster). The host that received a request asks the
// coordinator for a target, sends the request there itself, and reports to the
// coordinator how it ended, with the load from the response. The coordinator
// alone queries the targets, queues the requests of all hosts in one order, and
// learns of a failing target as soon as any host does. Only a few short
// messages are added; requests and responses don't pass through the coordinator.
//
// A coordinator doesn't decide what may be retried or whether a request ran:
// that stays with the host that received it. So a coordinator may die, freeze
// or be cut off at any moment, and there may be two at once. A host that gets no
// response within firstResponseTimeout repeats its message once; after that it
// skips the coordinator for a while and asks the next, or places the request
// itself.
package coordinator
