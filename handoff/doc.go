// Package handoff forwards requests to the hosts that own the groups of a pool.
// Package owner defines groups and owners.
//
// Balancer implements lb.Balancer for the host that received a request. It
// selects a group with an owner.Chooser and returns the address of the group's
// owner instead of a target's. The forwarding path sends the request there as
// it would to an upstream, with the name of the group. The owner queues the
// request and dispatches it to a target of the group. Its response carries the
// load of the group, which is recorded in the Chooser. Meter measures that load
// on the owner.
//
// A host that can reach no owner, or that knows no other hosts, dispatches
// directly through the Balancer given as Options.Direct, so that a request can
// always be served without a handoff.
package handoff
