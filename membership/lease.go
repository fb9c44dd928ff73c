package membership

import (
	"slices"
	"time"
)

// leaseState is the state of this host's own lease.
type leaseState struct {
	// renewed is when the last acknowledged heartbeat write was sent.
	renewed time.Time
	// read is when the last successful read of the rows was started.
	read time.Time
	// majorityHeardAt is the latest time since which heartbeats of more than
	// half of the counted hosts, this one included, have arrived through peers.
	majorityHeardAt time.Time
	// heldSince is when the acquisition of the lease began. It is zero while
	// there is none, and reset when the lease lapses.
	heldSince time.Time
	// effective is true once the lease has been held for the join delay, after
	// which the other hosts count this one.
	effective bool
	// majorityHeardSince is when the present period began in which this host
	// hears from more than half of the hosts; it is zero outside such a period.
	majorityHeardSince time.Time
	// joinedAt is when such a period first lasted for the join delay.
	joinedAt time.Time
}

func (l *leaseState) joined() bool { return !l.joinedAt.IsZero() }

// remaining returns how much longer the lease is valid without new evidence.
func (c *Core) remaining(now time.Time) time.Duration {
	return max(c.remainingByRows(now), c.remainingByPeers(now), 0)
}

// remainingByRows returns how much longer the writes and reads of the rows keep
// the lease valid. Reads count as well as writes, because a host that does not
// read may not know of the hosts that joined.
func (c *Core) remainingByRows(now time.Time) time.Duration {
	t, l := c.opt.Timing, &c.lease
	if l.renewed.IsZero() || l.read.IsZero() {
		return 0
	}
	return min(t.Lease-elapsed(l.renewed, now), t.readValidity(c.hostCount())-elapsed(l.read, now))
}

// remainingByPeers returns how much longer the heartbeats that arrived through
// peers keep the lease valid.
func (c *Core) remainingByPeers(now time.Time) time.Duration {
	if c.lease.majorityHeardAt.IsZero() {
		return 0
	}
	return c.opt.Timing.peerValidity(c.hostCount()) - elapsed(c.lease.majorityHeardAt, now)
}

// lapse ends the lease when it is no longer valid. It runs before the evidence
// that an event brings is recorded, so that new evidence never hides a gap.
func (c *Core) lapse(now time.Time) {
	if c.lease.heldSince.IsZero() || c.remaining(now) > 0 {
		return
	}
	c.counters.Lapses++
	c.lease.heldSince, c.lease.effective = time.Time{}, false
}

// refresh updates the lease and the join state from the evidence recorded so
// far.
func (c *Core) refresh(now time.Time) {
	l := &c.lease
	l.majorityHeardAt = c.majorityHeardAt()
	majorityHeard := c.remainingByPeers(now) > 0 || (c.hostCount() == 1 && c.remainingByRows(now) > 0)
	if !l.effective {
		c.acquire(now, majorityHeard)
	}
	if !l.joined() {
		c.updateJoined(now, majorityHeard)
	}
}

// acquire advances the acquisition of the lease. For the whole join delay this
// host must keep its row renewed and hear from more than half of the hosts.
// Hosts that hold their leases through the table service read the row, and any
// majority that holds its leases through peers then includes a host that knows
// of this one. Contact with peers alone extends a lease and never starts one.
func (c *Core) acquire(now time.Time, majorityHeard bool) {
	l := &c.lease
	switch {
	case !majorityHeard || c.remainingByRows(now) <= 0:
		l.heldSince = time.Time{}
	case l.heldSince.IsZero():
		l.heldSince = now
	default:
		l.effective = now.Sub(l.heldSince) >= c.opt.Timing.JoinDelay(c.hostCount())
	}
}

// updateJoined records when this host has heard from more than half of the
// hosts for the join delay, after which the others know of it.
func (c *Core) updateJoined(now time.Time, majorityHeard bool) {
	l := &c.lease
	switch {
	case !majorityHeard:
		l.majorityHeardSince = time.Time{}
	case l.majorityHeardSince.IsZero():
		l.majorityHeardSince = now
	case now.Sub(l.majorityHeardSince) >= c.opt.Timing.JoinDelay(c.hostCount()):
		l.joinedAt = now
	}
}

// majorityHeardAt returns the latest time since which heartbeats of more than
// half of the counted hosts have arrived through peers. It returns zero when they have
// not, and when this host is the only one.
func (c *Core) majorityHeardAt() time.Time {
	need := c.hostCount() / 2
	if need == 0 {
		return time.Time{}
	}
	seen := make([]time.Time, 0, len(c.peers))
	for _, e := range c.peers {
		if !e.heardAt.IsZero() {
			seen = append(seen, e.heardAt)
		}
	}
	if len(seen) < need {
		return time.Time{}
	}
	slices.SortFunc(seen, func(a, b time.Time) int { return b.Compare(a) })
	return seen[need-1]
}

// Held reports whether this host holds its lease, and so may use its share of
// the limits that the lease guards. The lease must be valid and have been held
// for long enough that the other hosts count this one.
func (c *Core) Held(now time.Time) bool {
	return c.lease.effective && c.self.State == Live && !c.superseded && c.remaining(now) > 0
}
