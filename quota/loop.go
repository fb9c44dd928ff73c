package quota

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// shardLabels are the metric labels of the shards.
var shardLabels = lo.Times(shardCount, strconv.Itoa)

// neededShards are the shards with quotas in one version of the tables.
type neededShards struct {
	tables *table.Tables
	shards shardSet
}

// neededShards returns the shards with quotas in the tables in force.
func (c *Client) neededShards() shardSet {
	t := c.Tables()
	if n := c.needed.Load(); n != nil && n.tables == t {
		return n.shards
	}
	var shards shardSet
	for _, w := range t.Workspaces {
		if w.RatePerSecond > 0 {
			shards |= 1 << shardOf(w.Name)
		}
	}
	c.needed.Store(&neededShards{tables: t, shards: shards})
	return shards
}

// rosterRanking is the ranking of hosts by the roster.
type rosterRanking struct{ roster *roster.Roster }

func (r rosterRanking) candidate(now time.Time, shard int) string {
	return r.roster.Candidate(now, Task(shard)).Name
}

func (r rosterRanking) count() int { return r.roster.Count() }

// send sends the messages of a plan. One that is lost is sent again at the next
// heartbeat or step.
func (c *Client) send(p plan) {
	self, hosts := c.Roster.Self().Name, c.Roster.Count()
	for to, shards := range p.heartbeats {
		c.notify(to, kindDelegate, delegateNotice{Host: self, Hosts: hosts, Shards: shards})
	}
	for _, to := range p.contacts {
		c.notify(to, kindContact, contactNotice{Host: self})
	}
}

func (c *Client) notify(to string, kind hostmsg.Kind, body any) {
	host, known := c.Roster.Find(to)
	if !known {
		return
	}
	if err := c.Node.Notify(host.Addr, kind, body); err != nil {
		c.Logger.Debug("message to a quota host could not be sent; it is sent again", zap.String("quota_host", to), zap.Error(err))
	}
}

// logChanges logs changes of quota hosts, one line for each pair of hosts.
func (c *Client) logChanges(changes []change) {
	type pair struct{ from, to string }
	for p, shards := range lo.GroupBy(changes, func(ch change) pair { return pair{ch.from, ch.to} }) {
		c.changes.WithLabelValues("found").Add(float64(len(shards)))
		c.Logger.Info("quota host found; delegations and requests for tokens go there", zap.String("quota_host", p.to),
			zap.String("before", p.from), zap.Ints("shards", lo.Map(shards, func(ch change, _ int) int { return ch.shard })))
	}
}

// handleMessages sets the handlers of the quota host's side, and of answers.
func (c *Client) handleMessages() {
	c.Node.Handle(kindDelegate, func(m hostmsg.Message) {
		var n delegateNotice
		if c.decode(m, &n) {
			c.handleDelegate(m, n)
		}
	})
	c.Node.Handle(kindContact, func(m hostmsg.Message) {
		var n contactNotice
		if c.decode(m, &n) {
			c.respond(m)
		}
	})
	c.Node.Handle(kindResponds, func(m hostmsg.Message) {
		var n respondsNotice
		if c.decode(m, &n) {
			c.handleResponds(n)
		}
	})
	c.Node.Handle(kindToken, func(m hostmsg.Message) {
		var q tokenRequest
		if c.decode(m, &q) {
			c.handleToken(m, q)
		}
	})
	c.Node.Handle(kindReturn, func(m hostmsg.Message) {
		var n returnNotice
		if c.decode(m, &n) {
			c.host.shards[shardOf(n.Workspace)].takeBack(c.Clock.Now(), callID{m.From, n.MessageID}, n)
		}
	})
}

func (c *Client) decode(m hostmsg.Message, dst any) bool {
	if err := m.Decode(dst); err != nil {
		c.Logger.Debug("malformed message about quotas dropped", zap.Stringer("from", m.From), zap.Error(err))
		return false
	}
	return true
}

// handleResponds records that a host responds. Hosts without requests of their own
// learn only so that a quota host which failed earlier is well.
func (c *Client) handleResponds(n respondsNotice) {
	now := c.Clock.Now()
	c.host.answered(now, n.Host)
	if !c.Roster.Skipped(now, taskKind, n.Host) {
		c.Roster.MarkHealthy(taskKind, n.Host)
	}
}

// handleDelegate records a delegation. The part is that of the longer of both lists
// of hosts, so that parts never add up to more than the whole.
func (c *Client) handleDelegate(m hostmsg.Message, n delegateNotice) {
	if _, listed := c.Roster.Find(n.Host); !listed {
		return
	}
	now, hosts := c.Clock.Now(), max(n.Hosts, c.Roster.Count())
	for i, s := range c.host.shards {
		if n.Shards.has(i) {
			s.delegate(now, n.Host, hosts)
		}
	}
	c.respond(m)
}

func (c *Client) respond(m hostmsg.Message) {
	if err := c.Node.Notify(m.From, kindResponds, respondsNotice{Host: c.Roster.Self().Name}); err != nil {
		c.Logger.Debug("answer to another host could not be sent; that host asks again", zap.Stringer("to", m.From), zap.Error(err))
	}
}

// handleToken answers a request for a token, by the newer of the asking host's
// quota and the one in the tables of this host.
func (c *Client) handleToken(m hostmsg.Message, r tokenRequest) {
	q := tokenQuery{
		workspace: r.Workspace, terms: newTerms(r.Rate, r.Burst, r.Version),
		maxWait: hostmsg.Milliseconds(r.MaxWait), bridged: max(r.Bridged, 0), phase: rand.Float64(),
	}
	if t := c.Tables(); t.Version > q.version {
		if w, found := t.Workspaces[r.Workspace]; found && w.RatePerSecond > 0 {
			q.terms = newTerms(w.RatePerSecond, w.Burst, t.Version)
		}
	}
	if !(q.rate > 0) {
		c.Logger.Debug("request for a token without a rate dropped", zap.Stringer("from", m.From))
		return
	}
	m.Respond(newTokenResponse(c.host.shards[shardOf(r.Workspace)].answer(c.Clock.Now(), callID{m.From, m.ID()}, q)))
}
