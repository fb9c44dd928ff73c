package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Hash returns a hash of the names, incarnations and states of all counted
// hosts. Hosts with equal hashes need not send each other full entries.
func (c *Core) Hash() uint64 {
	h := c.self.stateHash()
	for _, e := range c.peers {
		h ^= e.stateHash()
	}
	return h
}

// RecentChanges returns up to limit full entries whose incarnation or state
// changed within GossipPeriod: leaving and gone hosts first, then this host's
// own, then the latest changes.
func (c *Core) RecentChanges(now time.Time, limit int) []Member {
	var found []change
	note := func(m Member, at time.Time) {
		if now.Sub(at) <= c.opt.Timing.GossipPeriod {
			found = append(found, change{Member: m, at: at})
		}
	}
	if now.Sub(c.selfChangedAt) <= c.opt.Timing.GossipPeriod {
		note(c.self, now)
	}
	for _, e := range c.peers {
		note(e.Member, e.changedAt)
	}
	for _, t := range c.tombstones {
		if t.State == Gone {
			note(t.Member, t.at)
		}
	}
	slices.SortFunc(found, change.compare)
	found = found[:min(limit, len(found))]
	return lo.Map(found, func(f change, _ int) Member { return f.Member })
}

// change is an entry and the time of its last change.
type change struct {
	Member
	at time.Time
}

// compare orders the more urgent change first.
func (a change) compare(b change) int {
	return cmp.Or(cmp.Compare(b.State, a.State), b.at.Compare(a.at), cmp.Compare(a.Name, b.Name))
}

// RecentHeartbeats returns up to limit heartbeats: this host's own first, then
// the latest of those that grew within the last third of GossipPeriod.
func (c *Core) RecentHeartbeats(now time.Time, limit int) []HeartbeatUpdate {
	const freshDivisor = 3
	var fresh []*peerRecord
	for _, e := range c.peers {
		if e.Heartbeat > 0 && now.Sub(e.advancedAt) <= c.opt.Timing.GossipPeriod/freshDivisor {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *peerRecord) int {
		if d := b.advancedAt.Compare(a.advancedAt); d != 0 {
			return d
		}
		return compareNames(a.Name, b.Name)
	})
	out := []HeartbeatUpdate{{ID: c.self.ID(), Heartbeat: c.self.Heartbeat}}
	for _, e := range fresh[:min(len(fresh), max(limit-1, 0))] {
		out = append(out, HeartbeatUpdate{ID: e.id, Heartbeat: e.Heartbeat})
	}
	return out
}
