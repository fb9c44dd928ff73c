package membership

import "time"

// maxClockAhead bounds how far an incarnation may lie in the future.
const maxClockAhead = 24 * time.Hour

// maxMembers bounds the hosts that are kept.
const maxMembers = 4096

// origin tells where entries come from: rows, or a peer at the instant since.
type origin struct {
	row   bool
	since time.Time
}

// News is what a host learned from a message or from rows.
type News struct {
	// Urgent is true when a host was said to leave or to be gone, which is
	// worth passing on at once.
	Urgent  bool
	Actions []Action
}

// RowsRead takes in the rows of a read that was started at started.
func (c *Core) RowsRead(started, now time.Time, rows []Member) News {
	c.observe(now)
	c.reading, c.answered, c.informed = false, true, true
	c.hold.read = started
	news := c.merge(now, origin{row: true}, rows)
	news.Actions = append(news.Actions, c.expire(started, now)...)
	c.refresh(now)
	return news
}

// Heard takes in the entries of a peer's message. since is when this host sent
// the request that the message answers, zero for a request of the peer.
func (c *Core) Heard(now, since time.Time, members []Member, beats []Beat) News {
	c.observe(now)
	c.informed = true
	if since.IsZero() {
		since = c.inboundSince(now)
	}
	news := c.merge(now, origin{since: since}, members)
	for _, b := range beats {
		if e := c.byID[b.ID]; e != nil {
			e.beat(now, origin{since: since}, b.Heartbeat)
		}
	}
	c.refresh(now)
	return news
}

// inboundSince returns the instant that a peer's request counts from. After a
// pause requests may have waited unread, so they count for nothing at first.
func (c *Core) inboundSince(now time.Time) time.Time {
	if !c.pausedAt.IsZero() && elapsed(c.pausedAt, now) <= c.opt.Timing.Spread {
		return time.Time{}
	}
	return c.lastTick
}

func (c *Core) merge(now time.Time, from origin, members []Member) News {
	var news News
	for _, m := range members {
		switch {
		case !c.plausible(now, m):
			c.counts.Refused++
		case m.Name == c.self.Name:
			news.Actions = append(news.Actions, c.heardSelf(now, m)...)
		default:
			news.Urgent = (c.mergeOne(now, from, m) && m.State != Live) || news.Urgent
		}
	}
	return news
}

func (c *Core) plausible(now time.Time, m Member) bool {
	latest := uint64(now.Add(maxClockAhead).UnixMilli())
	return m.Name != "" && m.Addr.IsValid() && m.State >= Live && m.State <= Gone && m.Incarnation <= latest
}

// heardSelf handles an entry under the own name: an earlier life is ignored or
// outbid before the first renewal, a later one supersedes this process.
func (c *Core) heardSelf(now time.Time, m Member) []Action {
	if m.Incarnation < c.self.Incarnation || c.superseded {
		return nil
	}
	if m.Incarnation == c.self.Incarnation && m.Heartbeat <= c.self.Heartbeat {
		return nil
	}
	if c.hold.renewed.IsZero() && !c.hold.settled() {
		c.self.Incarnation = m.Incarnation + 1
		c.selfChanged = now
		return nil
	}
	c.superseded = true
	return []Action{Superseded{Incarnation: m.Incarnation}}
}

// mergeOne takes in one entry and reports whether it was news.
func (c *Core) mergeOne(now time.Time, from origin, m Member) bool {
	if t, ok := c.tombs[m.Name]; ok && !c.revives(t, m) {
		return false
	}
	e, known := c.peers[m.Name]
	if known && !m.newer(e.Member) {
		if m.Incarnation == e.Incarnation {
			e.beat(now, from, m.Heartbeat)
		}
		return false
	}
	if m.State == Gone {
		c.bury(now, m)
		return true
	}
	if !known && len(c.peers) >= maxMembers {
		c.counts.Refused++
		return false
	}
	if known && e.Incarnation == m.Incarnation {
		e.State, e.learned = m.State, now
		e.beat(now, from, m.Heartbeat)
		return true
	}
	c.insert(now, from, m)
	return true
}

// revives reports whether m shows that a host dropped here lives.
func (c *Core) revives(t tombstone, m Member) bool {
	if m.Incarnation != t.Incarnation {
		return m.Incarnation > t.Incarnation
	}
	return t.State != Gone && (m.Heartbeat > t.Heartbeat || m.State == Gone)
}

func (c *Core) insert(now time.Time, from origin, m Member) {
	if old, ok := c.peers[m.Name]; ok {
		delete(c.byID, old.id)
	}
	delete(c.tombs, m.Name)
	heartbeat := m.Heartbeat
	m.Heartbeat = 0
	e := &entry{Member: m, id: m.ID(), learned: now, advanced: now}
	e.beat(now, from, heartbeat)
	c.peers[m.Name] = e
	if _, taken := c.byID[e.id]; taken {
		delete(c.byID, e.id)
		return
	}
	c.byID[e.id] = e
}

// beat takes in a heartbeat.
func (e *entry) beat(now time.Time, from origin, heartbeat uint64) {
	known := &e.Heartbeat
	if from.row {
		known = &e.rowBeat
	}
	if heartbeat <= *known {
		return
	}
	*known = heartbeat
	e.advanced, e.silentRead = now, time.Time{}
	if !from.row && from.since.After(e.witnessed) {
		e.witnessed = from.since
	}
}

// bury stops counting a host.
func (c *Core) bury(now time.Time, m Member) {
	if e, ok := c.peers[m.Name]; ok {
		delete(c.byID, e.id)
		delete(c.peers, m.Name)
	}
	c.tombs[m.Name] = tombstone{Member: m, at: now}
}

func (c *Core) buryOld(now time.Time) {
	for name, t := range c.tombs {
		if elapsed(t.at, now) > c.opt.Timing.Forget {
			delete(c.tombs, name)
		}
	}
}
