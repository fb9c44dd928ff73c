package membership

import "time"

// expire drops the hosts whose silence is proven by the row read that was sent
// at started.
func (c *Core) expire(started, now time.Time) []Action {
	var proven []*peerRecord
	unheard, window := 0, c.opt.Timing.peerValidity(c.hostCount())
	for _, e := range c.peers {
		if e.heardAt.IsZero() || elapsed(e.heardAt, now) > window {
			unheard++
		}
		if !started.After(e.advancedAt) {
			continue
		}
		if e.firstSilentRead.IsZero() {
			e.firstSilentRead = started
		} else if started.Sub(e.firstSilentRead) >= c.opt.Timing.dropAfter() {
			proven = append(proven, e)
		}
	}
	// When more than half of the hosts are not heard through peers, they may be
	// cut off from this host and still hold their leases through each other.
	tooMany := unheard*2 > c.hostCount()
	var out []Action
	for _, e := range proven {
		if tooMany && now.Sub(e.advancedAt) <= c.opt.Timing.ForgetAfter {
			c.counters.DropsWithheld++
			continue
		}
		m := e.Member
		m.Heartbeat = max(m.Heartbeat, e.rowHeartbeat)
		c.addTombstone(now, m)
		c.counters.Expired++
		out = append(out, Expired{Member: m})
	}
	return out
}
