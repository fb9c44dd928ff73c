// Package balance selects the upstream target of each request.
//
// A Balancer keeps the state of each pool under its own lock and with its own
// seeded random source. The current time is a parameter of every call, so that
// tests and simulations run without a clock. A selection has two steps: the
// pool lists the targets that may receive new requests (not draining, not
// excluded by the request, not ejected), and a Policy selects one of them by
// in-flight counts, load reports and latency.
//
// A target that fails, is slow or stops answering is ejected (outlier
// detection): it receives no requests for a time that grows with repeated
// ejections, then single requests as a trial, then a share that ramps up to
// the normal one. Status pages and metrics call an ejected target "set-aside" and
// a draining one "leaving".
//
// A draining target receives no new requests from the moment that one of four
// sources says so: a response to a request or probe with the header
// Chestnut-Draining, a peer host, the drain list of the operator, or the host
// list.
package balance
