// Package load holds what a host knows of the load of targets.
//
// A target reports its own load on its answers in the header
// endpoint-load-metrics (the ORCA text or JSON form) and at its load path.
// Parse reads both forms. A report is already old when it arrives and may be
// wrong: figures carry their age, and the weight of a target's reports falls
// when the calls to it contradict them.
package load
