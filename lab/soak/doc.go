// Package soak runs randomized fault-injection tests. It starts several entry
// hosts (gateway processes) on one machine, injects faults from outside the
// processes, and checks what callers and upstreams observe against the
// documented guarantees of the product, which the output calls promises.
//
// A plan is a list of Events drawn from a seed: which faults occur when, in
// series and overlapping (plan.go). Faults are injected from outside the
// gateway (events.go): signals stop, pause, kill and reload the processes, which
// are started again when they end (host.go); loopback TCP relays in front of the
// store and of each upstream delay, reset or stall connections, in both
// directions or in one (relay.go); fake stores and upstreams return faulty
// responses. Callers keep using their connections until the process has ended
// (caller.go). All observations are recorded and verified at the end (verify.go).
//
// From seed newPartsSince on, upstreams are cold after their start and at times later,
// the operator evacuates failure domains and takes them back (evacuation.go), and
// requests carry keys of workspaces with quotas, some of which are withdrawn
// (workspaces.go).
//
// The gateway measures time with the monotonic clock only and uses the time of
// day only in its logs, so no fault changes the system clock.
package soak
