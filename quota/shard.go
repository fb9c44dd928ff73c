package quota

import (
	"sync"
	"time"
)

// shard is what one host does and knows for one shard: its part as quota host, and
// its use of another. It reads no clock.
type shard struct {
	mu         sync.Mutex
	allocator  *allocator
	recent     *recentCalls
	delegation delegation
	bridge     *bridge
	// asking counts, by workspace, the requests that go on asking a silent quota host.
	asking map[string]int
}

func newShard(startedAt time.Time) *shard {
	return &shard{
		allocator: newAllocator(), recent: newRecentCalls(), bridge: newBridge(),
		delegation: delegation{startedAt: startedAt}, asking: map[string]int{},
	}
}

// answer answers a request of another host; a repeated one gets the answer that it
// got before. An unready quota host may answer the repetition otherwise.
func (s *shard) answer(now time.Time, id callID, q tokenQuery) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, known := s.recent.find(id); known {
		if c.returned {
			return decision{verdict: refused}
		}
		return c.decision
	}
	d := s.allocator.take(now, q)
	if d.verdict != unready {
		s.recent.record(now, id, call{decision: d})
	}
	return d
}

// takeBack returns the token of another host's request, or makes sure that one
// that arrives later gets none.
func (s *shard) takeBack(now time.Time, id callID, n returnNotice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.recent.find(id)
	if c.returned {
		return
	}
	if !known && !n.Unanswered || c.decision.verdict == granted {
		s.allocator.giveBack(now, n.Workspace)
	}
	s.recent.record(now, id, call{decision: c.decision, returned: true})
}

// take takes a token at this host as quota host.
func (s *shard) take(now time.Time, q tokenQuery) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.take(now, q)
}

// giveBack returns a token of this host as quota host.
func (s *shard) giveBack(now time.Time, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.giveBack(now, workspace)
}

// delegate records the delegation of a host that knows of n hosts.
func (s *shard) delegate(now time.Time, host string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.delegate(now, host, n)
}

// untilReady returns the time until another quota host may be used, or until the
// one in use has received this host's first delegation.
func (s *shard) untilReady(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.delegation.untilChange(now), s.delegation.untilFirst(now)+heartbeatInterval)
}

// source is where a request of this host gets its token.
type source struct {
	// host is the quota host, "" when there is none now.
	host string
	// bridged is the number of requests that host has to be told of.
	bridged int
}

// source returns where a request for a workspace gets its token.
func (s *shard) source(workspace string) source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delegation.host == "" || s.delegation.failed {
		return source{}
	}
	return source{host: s.delegation.host, bridged: s.bridge.settle(workspace)}
}

// answered records the answer of the quota host to a request of this host.
func (s *shard) answered(now time.Time, workspace string, d decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.verdict != unready {
		s.bridge.answered(now)
	}
	if d.verdict == granted {
		s.bridge.granted(now, workspace, d.wait)
	}
}

// unanswered records that no quota host took the tokens of bridged requests.
func (s *shard) unanswered(workspace string, bridged int) {
	if bridged == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bridge.usage(workspace).unsettled += bridged
}

// admit reports whether a request may run without an answer of the quota host.
func (s *shard) admit(now time.Time, workspace string, phase float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bridge.admit(now, workspace, phase)
}

// neverRan records that a request which was admitted without an answer never ran.
func (s *shard) neverRan(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.bridge.usages[workspace]; u != nil && u.unsettled > 0 {
		u.unsettled--
	}
}

// sweep drops what is no longer needed.
func (s *shard) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.sweep(now)
	s.bridge.sweep(now)
	s.recent.rotate(now)
}

// fraction returns the part of the quota delegated to this host.
func (s *shard) fraction(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.advance(now)
	return s.allocator.fraction()
}
