package quota

import (
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// contactValidity is how long a host counts as responding after an answer.
	contactValidity = time.Second
	// maxSilentContacts is the number of hosts in a row that may not answer, with no
	// answer of any other host in between, before a host takes itself for cut off.
	maxSilentContacts = 8
	// isolationCheck is the time between two attempts to reach others by a host that
	// is cut off.
	isolationCheck = time.Second
)

// ranking is the part of the roster that decisions need.
type ranking interface {
	// candidate returns the first host for a shard that is not skipped.
	candidate(now time.Time, shard int) string
	// count returns the number of hosts.
	count() int
}

// shardSet is a set of shards.
type shardSet uint16

func (s shardSet) has(shard int) bool { return s&(1<<shard) != 0 }
func (s shardSet) count() int         { return bits.OnesCount16(uint16(s)) }

// change is a change of the quota host of a shard.
type change struct {
	shard    int
	from, to string
}

// plan is what a host does after a step.
type plan struct {
	// heartbeats are the delegations to send, by quota host.
	heartbeats map[string]shardSet
	// contacts are the hosts to ask whether they respond.
	contacts []string
	// silent are hosts that didn't answer contacts, lost the quota hosts in use that
	// didn't answer heartbeats.
	silent, lost []string
	changes      []change
	// searching is true while a shard has no settled quota host.
	searching bool
}

// hostState is the state of one host over all shards. It does no I/O and reads no
// clock.
type hostState struct {
	self   string
	shards [shardCount]*shard

	mu sync.Mutex
	// beats are the hosts that get heartbeats, asked those that were asked whether
	// they respond.
	beats, asked *contacts
	heartbeatAt  time.Time
	steppedAt    time.Time
	// silentInRow counts hosts that didn't answer since the last answer.
	silentInRow   int
	isolatedUntil time.Time
}

func newHostState(self string, startedAt time.Time) *hostState {
	h := &hostState{self: self, beats: newContacts(), asked: newContacts()}
	for i := range h.shards {
		h.shards[i] = newShard(startedAt)
	}
	return h
}

// answered records that a host answered any message.
func (h *hostState) answered(now time.Time, host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beats.answered(now, host)
	h.asked.answered(now, host)
	h.silentInRow, h.isolatedUntil = 0, time.Time{}
}

// respondsSince reports whether a host answered after a time.
func (h *hostState) respondsSince(host string, since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked.answeredSince(host, since)
}

// fail records that a host doesn't answer requests for tokens or heartbeats.
func (h *hostState) fail(host string) {
	for _, s := range h.shards {
		s.mu.Lock()
		s.delegation.fail(host)
		s.mu.Unlock()
	}
}

// step decides what the host does now. needed are the shards with quotas.
func (h *hostState) step(now time.Time, r ranking, needed shardSet) plan {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.steppedAt) > maxStepGap {
		h.beats, h.asked = newContacts(), newContacts()
	}
	h.steppedAt = now
	p := plan{heartbeats: map[string]shardSet{}}
	beat := now.Sub(h.heartbeatAt) >= heartbeatInterval
	if beat {
		h.heartbeatAt = now
	}
	p.lost = h.lostHosts(now)
	for _, host := range p.lost {
		h.fail(host)
	}
	contacts := map[string]bool{}
	for i, s := range h.shards {
		if needed.has(i) {
			h.stepShard(now, r, i, s, beat, contacts, &p)
		}
		if beat {
			s.sweep(now)
		}
	}
	for host := range p.heartbeats {
		h.beats.sent(now, host)
	}
	h.contact(now, contacts, &p)
	return p
}

// lostHosts returns the hosts that didn't answer heartbeats.
func (h *hostState) lostHosts(now time.Time) []string {
	lost := lo.Filter(slices.Sorted(maps.Keys(h.beats.hosts)), func(host string, _ int) bool {
		return h.beats.overdue(now, host, requestTries, heartbeatTimeout)
	})
	for _, host := range lost {
		h.beats.clearUnanswered(host)
	}
	return lost
}

func (h *hostState) stepShard(now time.Time, r ranking, i int, s *shard, beat bool, contacts map[string]bool, p *plan) {
	preferred := r.candidate(now, i)
	if now.Before(h.isolatedUntil) {
		preferred = h.self
	}
	responds := preferred == h.self || h.asked.answeredSince(preferred, now.Add(-contactValidity))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.advance(now)
	d := &s.delegation
	from := d.host
	if d.update(now, preferred, responds) {
		p.changes = append(p.changes, change{shard: i, from: from, to: d.host})
	}
	if d.needsContact(preferred) && !responds {
		contacts[preferred] = true
	}
	p.searching = p.searching || d.unsettled() || contacts[preferred]
	if to, ok := d.delegatesTo(now); beat && ok {
		d.sent(now)
		if to == h.self {
			s.allocator.delegate(now, h.self, r.count())
		} else {
			p.heartbeats[to] |= 1 << i
		}
	}
}

// contact asks hosts whether they respond, and gives up those that don't.
func (h *hostState) contact(now time.Time, hosts map[string]bool, p *plan) {
	for _, host := range slices.Sorted(maps.Keys(hosts)) {
		switch {
		case h.asked.overdue(now, host, requestTries, requestTries*requestTimeout):
			h.asked.clearUnanswered(host)
			p.silent = append(p.silent, host)
			h.silentInRow++
		case h.asked.due(now, host, requestTimeout):
			h.asked.sent(now, host)
			p.contacts = append(p.contacts, host)
		}
	}
	if h.silentInRow >= maxSilentContacts {
		h.silentInRow, h.isolatedUntil = 0, now.Add(isolationCheck)
	}
	if now.Sub(h.heartbeatAt) == 0 {
		h.asked.sweep(now)
		h.beats.sweep(now)
	}
}
