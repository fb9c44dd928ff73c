// Package attempt is the life of one request as a pure state machine: events
// and their time go in, actions come out. It alone decides whether a request
// was not run, may have run or ran, and whether another attempt is allowed.
//
// A request is received, queued for admission, and dispatched in one or more
// attempts. Each attempt picks a target, opens a connection, sends, and ends
// with an answer or is lost. The machine holds no clock, socket or goroutine;
// the driver feeds it what happened and does what it says.
//
// Two rules carry the promises:
//
//   - An attempt may have run from the moment Sent is fed, which the driver
//     does before the first byte, until its answer says that it was not run.
//   - A request that is not idempotent gets no further attempt while any of
//     its attempts may have run.
package attempt
