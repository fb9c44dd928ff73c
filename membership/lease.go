package membership

import (
	"slices"
	"time"
)

// hold is the state of this host's own lease.
type hold struct {
	// renewed is when the last acknowledged renewal was sent.
	renewed time.Time
	// read is when the last successful read of the rows was started.
	read time.Time
	// majority is the instant since which more than half of the counted
	// hosts, this one included, were heard of through peers.
	majority time.Time
	// since is when the unbroken hold began; zero while there is none.
	since time.Time
	// covers is true once the unbroken hold is known to the others.
	covers bool
	// settledAt is when the lease first covered actions.
	settledAt time.Time
}

func (h *hold) settled() bool { return !h.settledAt.IsZero() }

// remaining returns how long the present evidence holds the lease.
func (c *Core) remaining(now time.Time) time.Duration {
	t, h := c.opt.Timing, &c.hold
	var byStore, byPeers time.Duration
	if !h.renewed.IsZero() && !h.read.IsZero() {
		// Who does not read may not know of those who joined.
		byStore = min(t.Lease-elapsed(h.renewed, now), t.readHold(c.count())-elapsed(h.read, now))
	}
	if !h.majority.IsZero() {
		byPeers = t.peerHold(c.count()) - elapsed(h.majority, now)
	}
	return max(byStore, byPeers, 0)
}

// lapse ends the hold when its evidence ran out. It comes before an event's
// own evidence is taken in, so that a gap is never bridged.
func (c *Core) lapse(now time.Time) {
	if c.hold.since.IsZero() || c.remaining(now) > 0 {
		return
	}
	c.counts.Lapses++
	c.hold.since, c.hold.covers = time.Time{}, false
}

// refresh takes in new evidence for the lease. Until a hold covers actions,
// more than half of the hosts must be heard through peers throughout the join
// delay: any hosts that hold theirs without the table service then include one
// that knows of this host.
func (c *Core) refresh(now time.Time) {
	h := &c.hold
	h.majority = c.majorityWitness()
	if !h.covers {
		c.begin(now)
	}
	if !h.settled() && c.Holds(now) {
		h.settledAt = now
	}
}

func (c *Core) begin(now time.Time) {
	h := &c.hold
	known := c.count() == 1 || (!h.majority.IsZero() && elapsed(h.majority, now) < c.opt.Timing.peerHold(c.count()))
	switch {
	case !known || c.remaining(now) == 0:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	default:
		h.covers = now.Sub(h.since) >= c.opt.Timing.JoinDelay(c.count())
	}
}

// majorityWitness returns the instant since which more than half of the
// counted hosts were heard of; zero when they were not, or with one host.
func (c *Core) majorityWitness() time.Time {
	need := c.count() / 2
	if need == 0 {
		return time.Time{}
	}
	seen := make([]time.Time, 0, len(c.peers))
	for _, e := range c.peers {
		if !e.witnessed.IsZero() {
			seen = append(seen, e.witnessed)
		}
	}
	if len(seen) < need {
		return time.Time{}
	}
	slices.SortFunc(seen, func(a, b time.Time) int { return b.Compare(a) })
	return seen[need-1]
}

// Holds reports whether this host may act on what its lease covers: the lease
// is valid and has been for long enough that the others count this host.
func (c *Core) Holds(now time.Time) bool {
	return c.hold.covers && c.self.State == Live && !c.superseded && c.remaining(now) > 0
}
