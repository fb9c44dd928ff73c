package quota

import "time"

// contacts records which hosts answer. It does no I/O and reads no clock.
type contacts struct{ hosts map[string]*contact }

type contact struct {
	answeredAt time.Time
	// unansweredSince is when the first of the unanswered messages was sent.
	unansweredSince time.Time
	unanswered      int
}

func newContacts() *contacts { return &contacts{hosts: map[string]*contact{}} }

func (c *contacts) host(name string) *contact {
	h := c.hosts[name]
	if h == nil {
		h = &contact{}
		c.hosts[name] = h
	}
	return h
}

// sent records a message that host answers.
func (c *contacts) sent(now time.Time, host string) {
	h := c.host(host)
	if h.unanswered == 0 {
		h.unansweredSince = now
	}
	h.unanswered++
}

// answered records an answer.
func (c *contacts) answered(now time.Time, host string) {
	h := c.host(host)
	h.answeredAt, h.unanswered = now, 0
}

// overdue reports whether at least tries messages are unanswered, the first of them
// for timeout.
func (c *contacts) overdue(now time.Time, host string, tries int, timeout time.Duration) bool {
	h := c.hosts[host]
	return h != nil && h.unanswered >= tries && now.Sub(h.unansweredSince) >= timeout
}

// due reports whether an unanswered message is to be sent again.
func (c *contacts) due(now time.Time, host string, interval time.Duration) bool {
	h := c.hosts[host]
	return h == nil || h.unanswered == 0 || now.Sub(h.unansweredSince) >= time.Duration(h.unanswered)*interval
}

// answeredSince reports whether a host answered after a time.
func (c *contacts) answeredSince(host string, since time.Time) bool {
	h := c.hosts[host]
	return h != nil && h.answeredAt.After(since)
}

// clearUnanswered forgets unanswered messages: the answers may have been lost
// while this process was paused, or belong to an earlier search.
func (c *contacts) clearUnanswered(host string) {
	if h := c.hosts[host]; h != nil {
		h.unanswered = 0
	}
}

// sweep forgets hosts that have not been written to or answered for long.
func (c *contacts) sweep(now time.Time) {
	for name, h := range c.hosts {
		if now.Sub(h.answeredAt) > idleRetention && now.Sub(h.unansweredSince) > idleRetention {
			delete(c.hosts, name)
		}
	}
}
