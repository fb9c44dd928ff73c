// Package soak runs entry hosts of the users' platform as separate processes
// on one machine, disturbs them from outside, and checks what callers and
// upstreams see against the promises.
//
// A Plan is drawn from a seed: which faults strike when, in series and
// overlapping (plan.go). Faults come from outside the programs: signals stop,
// pause, kill and restart them (host.go); a loopback relay before the store
// and before each upstream delays, resets, silences, or cuts one way
// (relay.go); stand-ins of store and upstreams misbehave. Callers use their
// connections until the process is gone (caller.go). Everything that was seen
// is kept and judged at the end (judge.go).
//
// The programs measure time by the steady clock alone; the time of day is in
// their logs only, so no fault changes it.
package soak
