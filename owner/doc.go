// Package owner decides which entry host dispatches to which targets.
//
// With many entry hosts and two slots per target, each host sees only a small
// part of a target's load, and every load report is older than the load it
// describes. The targets of one pool in one failure domain therefore form a
// group, and each group has one owner among the entry hosts. The owner is
// selected by rendezvous hashing over the live members, preferably among the
// hosts of the group's own failure domain. It queues the group's requests and
// sends one to a target when a slot is free. Because all requests of the group
// pass through the owner, its counts are the true load of the targets. A host
// that receives a request selects a group and forwards the request to the
// group's owner.
//
// Assign computes the owners. Chooser tracks what a host knows of the groups and
// selects one by expected waiting time. Both do no I/O and read no clock:
// members, time and events are parameters.
//
// Hosts that disagree about the live members may both act as owner of a group
// for as long as they disagree. A target then receives up to twice as many
// requests as it has slots and queues the excess itself. When no owner can be
// reached, the caller of this package selects a target directly.
package owner
