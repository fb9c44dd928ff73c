package config

import (
	"sort"
	"time"
)

// kind orders the sources: of those that have the same version the lower is
// asked first, which keeps load off the table service.
type kind uint8

const (
	fromPeer kind = iota
	fromStore
	fromSnapshot
)

// source is where packed tables can be fetched.
type source struct {
	kind kind
	// peer is the host's name for fromPeer.
	peer string
}

var (
	storeSource    = source{kind: fromStore}
	snapshotSource = source{kind: fromSnapshot}
)

func peerSource(name string) source { return source{kind: fromPeer, peer: name} }

// String names the source in Status and metrics.
func (s source) String() string {
	switch s.kind {
	case fromPeer:
		return "peer " + s.peer
	case fromStore:
		return "store"
	default:
		return "snapshot"
	}
}

// claim is what a source is said to have, and how it did lately.
type claim struct {
	version  uint64
	failures int
	retryAt  time.Time
}

// sources remembers the claims of all sources.
type sources struct {
	claims map[source]*claim
	// highest is the highest version ever learned of; it never falls.
	highest uint64
}

func newSources() *sources { return &sources{claims: map[source]*claim{}} }

func (s *sources) get(src source) *claim {
	c, ok := s.claims[src]
	if !ok {
		c = &claim{}
		s.claims[src] = c
	}
	return c
}

// learn notes that src has a version. A source that comes up with a higher one
// is tried again at once.
func (s *sources) learn(src source, version uint64) {
	c := s.get(src)
	if version > c.version {
		c.version, c.failures, c.retryAt = version, 0, time.Time{}
	}
	s.highest = max(s.highest, version)
}

// failed sets a source aside until retryAt.
func (s *sources) failed(src source, retryAt time.Time) {
	c := s.get(src)
	c.failures++
	c.retryAt = retryAt
}

func (s *sources) succeeded(src source) {
	c := s.get(src)
	c.failures, c.retryAt = 0, time.Time{}
}

// forgetPeers drops peers that are not listed any more and have nothing above
// floor to offer.
func (s *sources) forgetPeers(listed map[string]bool, floor uint64) {
	for src, c := range s.claims {
		if src.kind == fromPeer && !listed[src.peer] && c.version <= floor {
			delete(s.claims, src)
		}
	}
}

// pick chooses the source to fetch from: the highest version above floor, then
// the kind, then at random. usable filters kinds that are out of order.
func (s *sources) pick(now time.Time, floor uint64, usable func(source) bool, random func(n int) int) (source, uint64, bool) {
	var best []source
	var version uint64
	for src, c := range s.claims {
		if c.version <= floor || now.Before(c.retryAt) || !usable(src) {
			continue
		}
		switch {
		case len(best) == 0 || c.version > version || (c.version == version && src.kind < best[0].kind):
			best, version = []source{src}, c.version
		case c.version == version && src.kind == best[0].kind:
			best = append(best, src)
		}
	}
	if len(best) == 0 {
		return source{}, 0, false
	}
	sort.Slice(best, func(i, j int) bool { return best[i].peer < best[j].peer })
	return best[random(len(best))], version, true
}

// eachRetry calls f with the time at which each source that was set aside may
// be tried again.
func (s *sources) eachRetry(f func(time.Time)) {
	for _, c := range s.claims {
		f(c.retryAt)
	}
}
