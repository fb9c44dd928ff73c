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
	// knownSince is when more than half of the hosts were first heard, while
	// that lasts.
	knownSince time.Time
	// settledAt is when that had lasted for the join delay.
	settledAt time.Time
}

func (h *hold) settled() bool { return !h.settledAt.IsZero() }

// remaining returns how long the present evidence holds the lease.
func (c *Core) remaining(now time.Time) time.Duration {
	return max(c.byStore(now), c.byPeers(now), 0)
}

// byStore returns how long the table service holds the lease. Who does not
// read may not know of those who joined.
func (c *Core) byStore(now time.Time) time.Duration {
	t, h := c.opt.Timing, &c.hold
	if h.renewed.IsZero() || h.read.IsZero() {
		return 0
	}
	return min(t.Lease-elapsed(h.renewed, now), t.readHold(c.count())-elapsed(h.read, now))
}

// byPeers returns how long the peers hold the lease.
func (c *Core) byPeers(now time.Time) time.Duration {
	if c.hold.majority.IsZero() {
		return 0
	}
	return c.opt.Timing.peerHold(c.count()) - elapsed(c.hold.majority, now)
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

// refresh takes in new evidence for the lease and for being known.
func (c *Core) refresh(now time.Time) {
	h := &c.hold
	h.majority = c.majorityWitness()
	known := c.byPeers(now) > 0 || (c.count() == 1 && c.byStore(now) > 0)
	if !h.covers {
		c.begin(now, known)
	}
	if !h.settled() {
		c.settle(now, known)
	}
}

// begin starts a hold. It takes the row, which those who hold their leases
// through the table service read, and more than half of the hosts heard
// throughout the join delay: any hosts that hold theirs through peers then
// include one that knows of this host. Peers alone only continue a hold.
func (c *Core) begin(now time.Time, known bool) {
	h := &c.hold
	switch {
	case !known || c.byStore(now) <= 0:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	default:
		h.covers = now.Sub(h.since) >= c.opt.Timing.JoinDelay(c.count())
	}
}

// settle notes when this host has been known to the others for the join delay.
func (c *Core) settle(now time.Time, known bool) {
	h := &c.hold
	switch {
	case !known:
		h.knownSince = time.Time{}
	case h.knownSince.IsZero():
		h.knownSince = now
	case now.Sub(h.knownSince) >= c.opt.Timing.JoinDelay(c.count()):
		h.settledAt = now
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
