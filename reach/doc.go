// Package reach finds out whether this host reaches the targets of a pool. A host may
// be cut off from all targets while callers, the store and the other hosts still
// reach it, so a failed connection says something about the target only if the host
// reaches others.
//
// A failure makes the Monitor ask a few targets of the pool over new connections. If most
// fail, the host counts as cut off from the pool until several rounds in a row have
// reached enough targets again. Open connections prove nothing: they may live on while new
// ones fail, and a new one may open and stay silent.
package reach
