package membership

import (
	"slices"
	"time"
)

// Hash covers the names, incarnations and states of all counted hosts; equal
// hashes mean that no full entries need to be sent.
func (c *Core) Hash() uint64 {
	h := c.self.stateHash()
	for _, e := range c.peers {
		h ^= e.stateHash()
	}
	return h
}

// Changes returns full entries whose life or state changed lately, those of
// hosts that are gone included.
func (c *Core) Changes(now time.Time) []Member {
	var out []Member
	if now.Sub(c.selfChanged) <= c.opt.Timing.Spread {
		out = append(out, c.self)
	}
	for _, e := range c.peers {
		if now.Sub(e.learned) <= c.opt.Timing.Spread {
			out = append(out, e.Member)
		}
	}
	for _, t := range c.tombs {
		if t.State == Gone && now.Sub(t.at) <= c.opt.Timing.Spread {
			out = append(out, t.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return out
}

// Beats returns up to limit heartbeats that grew within the last third of
// Spread, the own one first and then the latest.
func (c *Core) Beats(now time.Time, limit int) []Beat {
	const spreadPart = 3
	var fresh []*entry
	for _, e := range c.peers {
		if e.Heartbeat > 0 && now.Sub(e.advanced) <= c.opt.Timing.Spread/spreadPart {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if d := b.advanced.Compare(a.advanced); d != 0 {
			return d
		}
		return compareNames(a.Name, b.Name)
	})
	out := []Beat{{ID: c.self.ID(), Heartbeat: c.self.Heartbeat}}
	for _, e := range fresh[:min(len(fresh), max(limit-1, 0))] {
		out = append(out, Beat{ID: e.id, Heartbeat: e.Heartbeat})
	}
	return out
}
