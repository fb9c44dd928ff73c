// Package membership maintains the list of entry hosts, the hosts that run the
// load balancer, without a coordination service.
//
// Every host writes a heartbeat row to the partition "members" of the table
// service and reads the rows of the others. In between, the hosts gossip their
// heartbeats, which package peer carries, so that the list stays current while
// the table service is down. Core is a state machine without I/O: events and
// the time go in, actions come out. Service runs it against the table service.
//
// A host counts in shared limits from the moment it is first heard of until it
// certainly no longer uses its share: it has reported that it is gone, or two
// row reads more than a lease apart showed no new heartbeat while none arrived
// from peers either. A host counts its own lease from before it sent the
// renewal, so that it stops using its share before others may drop it. While
// the table service is down, a host keeps its lease as long as it hears from
// more than half of the hosts, and no host drops others while more than half of
// them are silent.
package membership
