package membership

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/chestnutfield/chestnutfield/table"
)

// maxClockAhead is how far in the future an incarnation may lie.
const maxClockAhead = 24 * time.Hour

// maxMembers is the maximum number of other hosts that are counted.
const maxMembers = 4096

// origin is where entries come from: the rows, or a message that proves contact
// with a peer at the time since.
type origin struct {
	row   bool
	since time.Time
}

// MergeResult is the outcome of merging a message or rows.
type MergeResult struct {
	// Urgent is true when a host has newly become Leaving or Gone, which should
	// be sent to peers at once.
	Urgent bool
	// Actions are for the caller to carry out.
	Actions []Action
}

// HandleRows merges the rows returned by a read that was sent at started.
func (c *Core) HandleRows(started, now time.Time, rows []Member) MergeResult {
	c.checkTime(now)
	c.reading, c.firstReadDone, c.informed = false, true, true
	c.lease.read = started
	c.listed = c.listed || len(rows) > 0
	result := c.merge(now, origin{row: true}, rows)
	result.Actions = append(result.Actions, c.expire(started, now)...)
	c.refresh(now)
	return result
}

// HandlePeerUpdate merges the entries of a peer's message. since is when this
// host sent the request that the message answers, zero for a request of the
// peer.
func (c *Core) HandlePeerUpdate(now, since time.Time, members []Member, heartbeats []HeartbeatUpdate) MergeResult {
	c.checkTime(now)
	c.informed = true
	if since.IsZero() {
		since = c.requestEvidenceTime(now)
	}
	result := c.merge(now, origin{since: since}, members)
	for _, u := range heartbeats {
		if e := c.byID[u.ID]; e != nil {
			e.recordHeartbeat(now, origin{since: since}, u.Heartbeat)
		}
	}
	c.refresh(now)
	return result
}

// requestEvidenceTime returns the time at which a peer's request proves contact
// with it: the last tick, since the request may have waited unread after it.
// For GossipPeriod after a pause it returns zero, which proves no contact,
// because requests may have waited unread during the whole pause.
func (c *Core) requestEvidenceTime(now time.Time) time.Time {
	if !c.pausedAt.IsZero() && elapsed(c.pausedAt, now) <= c.opt.Timing.GossipPeriod {
		return time.Time{}
	}
	return c.lastTick
}

func (c *Core) merge(now time.Time, from origin, members []Member) MergeResult {
	var result MergeResult
	for _, m := range members {
		switch {
		case !c.valid(now, m):
			c.counters.Refused++
		case m.Name == c.self.Name:
			result.Actions = append(result.Actions, c.handleSelfEntry(now, m)...)
		default:
			result.Urgent = (c.mergeMember(now, from, m) && m.State != Live) || result.Urgent
		}
	}
	return result
}

// valid reports whether an entry is one that a host may have published and that peers
// accept in a message: they reject a message as a whole.
func (c *Core) valid(now time.Time, m Member) bool {
	latest := uint64(now.Add(maxClockAhead).UnixMilli())
	return m.Name != "" && validText(m.Name) && validText(m.FailureDomain) && table.UsableAddr(m.Addr) &&
		m.State >= Live && m.State <= Gone && m.Incarnation <= latest
}

func validText(text string) bool {
	return len(text) <= MaxNameBytes && utf8.ValidString(text) && !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

// handleSelfEntry handles an entry under this host's own name. One that is not
// ahead of this process, by incarnation and then by heartbeat, is ignored. Any
// other supersedes this process, unless this process has neither renewed nor
// joined yet: then it takes a higher incarnation than the entry's.
func (c *Core) handleSelfEntry(now time.Time, m Member) []Action {
	if m.Incarnation < c.self.Incarnation || c.superseded {
		return nil
	}
	if m.Incarnation == c.self.Incarnation && m.Heartbeat <= c.self.Heartbeat {
		return nil
	}
	if c.lease.renewed.IsZero() && !c.lease.joined() {
		c.self.Incarnation = m.Incarnation + 1
		c.selfChangedAt = now
		return nil
	}
	c.superseded = true
	return []Action{Superseded{Incarnation: m.Incarnation}}
}

// mergeMember merges one entry and reports whether it showed a new host,
// incarnation or state.
func (c *Core) mergeMember(now time.Time, from origin, m Member) bool {
	if t, ok := c.tombstones[m.Name]; ok && !c.revives(t, m) {
		return false
	}
	e, known := c.peers[m.Name]
	if known && !m.newer(e.Member) {
		if m.Incarnation == e.Incarnation {
			e.recordHeartbeat(now, from, m.Heartbeat)
		}
		return false
	}
	if m.State == Gone {
		c.addTombstone(now, m)
		return true
	}
	if !known && len(c.peers) >= maxMembers {
		c.counters.Refused++
		return false
	}
	if known && e.Incarnation == m.Incarnation {
		e.State, e.changedAt = m.State, now
		e.recordHeartbeat(now, from, m.Heartbeat)
		return true
	}
	c.insert(now, from, m)
	return true
}

// revives reports whether m overrides the tombstone of a host that was dropped.
func (c *Core) revives(t tombstone, m Member) bool {
	if m.Incarnation != t.Incarnation {
		return m.Incarnation > t.Incarnation
	}
	return t.State != Gone && (m.Heartbeat > t.Heartbeat || m.State == Gone)
}

// insert counts a new host, or a new incarnation of a host, and drops what was
// recorded of it before.
func (c *Core) insert(now time.Time, from origin, m Member) {
	if old, ok := c.peers[m.Name]; ok {
		delete(c.byID, old.id)
	} else {
		c.grownAt = now
	}
	delete(c.tombstones, m.Name)
	heartbeat := m.Heartbeat
	m.Heartbeat = 0
	e := &peerRecord{Member: m, id: m.ID(), changedAt: now, advancedAt: now}
	e.recordHeartbeat(now, from, heartbeat)
	c.peers[m.Name] = e
	if _, taken := c.byID[e.id]; taken {
		delete(c.byID, e.id)
		return
	}
	c.byID[e.id] = e
}

// recordHeartbeat records a heartbeat that is higher than the last one of the
// same origin, and ignores any other.
func (e *peerRecord) recordHeartbeat(now time.Time, from origin, heartbeat uint64) {
	known := &e.Heartbeat
	if from.row {
		known = &e.rowHeartbeat
	}
	if heartbeat <= *known {
		return
	}
	*known = heartbeat
	e.advancedAt, e.firstSilentRead = now, time.Time{}
	if !from.row && from.since.After(e.heardAt) {
		e.heardAt = from.since
	}
}

// addTombstone removes a host from the counted ones and leaves a tombstone.
func (c *Core) addTombstone(now time.Time, m Member) {
	if e, ok := c.peers[m.Name]; ok {
		delete(c.byID, e.id)
		delete(c.peers, m.Name)
	}
	c.tombstones[m.Name] = tombstone{Member: m, at: now}
}

func (c *Core) dropOldTombstones(now time.Time) {
	for name, t := range c.tombstones {
		if elapsed(t.at, now) > c.opt.Timing.ForgetAfter {
			delete(c.tombstones, name)
		}
	}
}
