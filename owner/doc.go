// Package owner decides which entry host dispatches to which targets.
//
// With many entry hosts and two slots a target, each host sees a small part of
// a target's load, and all that it hears is older than the load it describes.
// The targets of one pool in one failure domain therefore form a group, and
// each group has one owner among the entry hosts, by rendezvous hashing over
// the live members, preferably a host of the group's own failure domain. The
// owner queues the group's requests and sends one to a target when a slot is
// free; since all requests of the group pass through it, its counts are the
// target's true load. A host that receives a request chooses a group and hands
// the request to the group's owner.
//
// Assign computes the owners. Chooser holds what a host knows of the groups
// and picks one by expected wait. Both are pure: members, time and events go
// in, choices come out.
//
// Hosts that disagree about the members may both act as owner of a group for
// as long as they disagree; a target then receives up to twice its slots and
// queues the excess itself. When no owner answers, the caller of this package
// falls back to choosing a target directly.
package owner
