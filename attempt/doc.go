// Package attempt is the state machine of one proxied request: it takes timed
// events and returns actions. It alone decides whether a request was not run,
// may have run or ran, and whether a retry or a hedged attempt is allowed.
//
// A request is received, queued for admission, and dispatched in one or more
// attempts. Each attempt picks a target, opens a connection, sends the request,
// and ends with a response or with a lost connection. The machine has no clock,
// socket or goroutine; its driver (package proxy) reports each event to
// Machine.Step and carries out the action that Step returns.
//
// Three rules make the reported outcome reliable:
//
//   - An attempt may have run from the event Sending, which the driver reports
//     before it writes the first byte, until its response says that it was not
//     run.
//   - A request that is not idempotent gets no further attempt while any of
//     its attempts may have run.
//   - Where callers take a status for the promise that a request has not run, it is
//     forwarded to a request that is not idempotent only if no attempt may have run.
package attempt
