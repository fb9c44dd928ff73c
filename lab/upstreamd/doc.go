// Package upstreamd is a stand-in for a target: a few slots that each run one
// request at a time, a bounded first-in-first-out queue before them that sheds
// when it is full, a limit on connections, and a load report on every answer.
//
// A request takes the time that its X-Service-Time header states, or one drawn
// from the target's distribution, stretched by the behavior in force (slowdown,
// noisy neighbour, cold start). A request whose connection closes while it is
// queued does not run; one that is running stops and frees its slot. What ran
// is written to a run log.
//
// Behavior is changed while it runs, by Server.SetBehavior or POST /control.
package upstreamd
