// Package upstreamd simulates a target for tests and lab experiments: a few slots
// that each run one request at a time, a bounded FIFO queue in front of them that
// sheds requests when it is full, a limit on connections, and a load report in
// every response.
//
// The service time of a request is given by its X-Service-Time header or else
// drawn from the target's distribution, and is extended by the injected behavior
// (slowdown, noisy neighbor, cold start). If the connection of a request closes
// while it is queued, it does not run; if it is running, it stops and frees its
// slot. The requests that ran are recorded in a run log.
//
// Server.SetBehavior and POST /control change the behavior at run time.
package upstreamd
