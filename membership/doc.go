// Package membership keeps the list of entry hosts without a coordination
// service.
//
// Every host writes a heartbeat row to the partition "members" of the table
// service and reads the rows of the others. Between those, hosts pass their
// heartbeats on to each other, so that the list stays fresh while the table
// service is down. Core decides and is pure: events and time in, actions out.
// Service runs it against the table service.
//
// A host is counted in shared limits from the moment it is first heard of
// until it is certain that it no longer acts on its share: it said that it is
// gone, or two row reads at least a lease apart showed no heartbeat while
// nothing was heard of it from peers. A host holds its lease for a fixed time
// from before it sent the renewal, so that it stops before others may drop it.
// Without the table service a host holds its lease while it hears from more
// than half of the hosts, and no host drops more than half of them.
package membership
