// Package handoff sends requests to the hosts that own the groups of a pool.
//
// Balancer implements ports.Balancer for the host that received a request: it
// chooses a group with an owner.Chooser and answers with the owner's address
// in place of a target's. The forwarding path sends the request there as it
// would to an upstream, with the group's name; the owner queues it and
// dispatches it to a target of the group. The owner's answer carries the load
// of the group, which the Chooser learns from.
//
// A host that finds no reachable owner dispatches directly through the
// balancer that it was given, so that handing over is never needed for a
// request to be served. So does a host that knows of no peers.
package handoff
