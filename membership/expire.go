package membership

import "time"

// expire drops hosts that a read started at started proves gone.
func (c *Core) expire(started, now time.Time) []Action {
	var proven []*entry
	unheard, window := 0, c.opt.Timing.peerHold(c.count())
	for _, e := range c.peers {
		if e.witnessed.IsZero() || elapsed(e.witnessed, now) > window {
			unheard++
		}
		if !started.After(e.advanced) {
			continue
		}
		if e.silentRead.IsZero() {
			e.silentRead = started
		} else if started.Sub(e.silentRead) >= c.opt.Timing.dropAfter() {
			proven = append(proven, e)
		}
	}
	// More than half, unheard of by peers, may hold their leases together.
	tooMany := unheard*2 > c.count()
	var out []Action
	for _, e := range proven {
		if tooMany && now.Sub(e.advanced) <= c.opt.Timing.Forget {
			c.counts.Kept++
			continue
		}
		m := e.Member
		m.Heartbeat = max(m.Heartbeat, e.rowBeat)
		c.bury(now, m)
		c.counts.Expired++
		out = append(out, Expired{Member: m})
	}
	return out
}
