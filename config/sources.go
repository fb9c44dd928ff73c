package config

import (
	"sort"
	"time"
)

// sourceKind is the kind of a source. Among sources that have the same version,
// one of the lower kind is asked first, which keeps load off the table service.
type sourceKind uint8

const (
	fromPeer sourceKind = iota
	fromStore
	fromSnapshot
)

// source is a place that encoded tables can be fetched from.
type source struct {
	kind sourceKind
	// peer is the name of the host; it is empty unless kind is fromPeer.
	peer string
}

var (
	storeSource    = source{kind: fromStore}
	snapshotSource = source{kind: fromSnapshot}
)

func peerSource(name string) source { return source{kind: fromPeer, peer: name} }

// String returns the source's name as Status and logs show it.
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

// sourceState is the highest version that a source is known to have, the
// number of its failed fetches in a row, and when it may be tried again.
type sourceState struct {
	version  uint64
	failures int
	retryAt  time.Time
}

// sources holds the state of all known sources.
type sources struct {
	states map[source]*sourceState
	// highest is the highest version ever learned of; it never decreases.
	highest uint64
}

func newSources() *sources { return &sources{states: map[source]*sourceState{}} }

func (s *sources) get(src source) *sourceState {
	st, ok := s.states[src]
	if !ok {
		st = &sourceState{}
		s.states[src] = st
	}
	return st
}

// recordVersion records that src has a version. A version higher than the one
// known before also clears the source's backoff, so that it is tried at once.
func (s *sources) recordVersion(src source, version uint64) {
	st := s.get(src)
	if version > st.version {
		st.version, st.failures, st.retryAt = version, 0, time.Time{}
	}
	s.highest = max(s.highest, version)
}

// recordFailure counts a failed fetch; the source is skipped until retryAt.
func (s *sources) recordFailure(src source, retryAt time.Time) {
	st := s.get(src)
	st.failures++
	st.retryAt = retryAt
}

func (s *sources) recordSuccess(src source) {
	st := s.get(src)
	st.failures, st.retryAt = 0, time.Time{}
}

// removePeers removes peers that are no longer listed and have no version
// above floor.
func (s *sources) removePeers(listed map[string]bool, floor uint64) {
	for src, st := range s.states {
		if src.kind == fromPeer && !listed[src.peer] && st.version <= floor {
			delete(s.states, src)
		}
	}
}

// pick chooses the source to fetch from: the highest version above floor, then
// the lowest kind, then at random. Sources in backoff and those for which
// usable returns false are skipped. The result is false when none is left.
func (s *sources) pick(now time.Time, floor uint64, usable func(source) bool, random func(n int) int) (source, uint64, bool) {
	var best []source
	var version uint64
	for src, st := range s.states {
		if st.version <= floor || now.Before(st.retryAt) || !usable(src) {
			continue
		}
		switch {
		case len(best) == 0 || st.version > version || (st.version == version && src.kind < best[0].kind):
			best, version = []source{src}, st.version
		case st.version == version && src.kind == best[0].kind:
			best = append(best, src)
		}
	}
	if len(best) == 0 {
		return source{}, 0, false
	}
	sort.Slice(best, func(i, j int) bool { return best[i].peer < best[j].peer })
	return best[random(len(best))], version, true
}

// eachRetryTime calls f with the end of each source's backoff, the zero time
// for sources that did not fail.
func (s *sources) eachRetryTime(f func(time.Time)) {
	for _, st := range s.states {
		f(st.retryAt)
	}
}
