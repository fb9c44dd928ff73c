package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
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

// Changes returns up to limit full entries whose life or state changed lately:
// those that leave or are gone first, then the own one, then the latest.
func (c *Core) Changes(now time.Time, limit int) []Member {
	var found []change
	note := func(m Member, at time.Time) {
		if now.Sub(at) <= c.opt.Timing.Spread {
			found = append(found, change{Member: m, at: at})
		}
	}
	if now.Sub(c.selfChanged) <= c.opt.Timing.Spread {
		note(c.self, now)
	}
	for _, e := range c.peers {
		note(e.Member, e.learned)
	}
	for _, t := range c.tombs {
		if t.State == Gone {
			note(t.Member, t.at)
		}
	}
	slices.SortFunc(found, change.compare)
	found = found[:min(limit, len(found))]
	return lo.Map(found, func(f change, _ int) Member { return f.Member })
}

// change is an entry with the time of its last change.
type change struct {
	Member
	at time.Time
}

// compare puts what is more urgent first.
func (a change) compare(b change) int {
	return cmp.Or(cmp.Compare(b.State, a.State), b.at.Compare(a.at), cmp.Compare(a.Name, b.Name))
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
