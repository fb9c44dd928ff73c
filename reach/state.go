package reach

import "time"

const (
	// recentContact is how long a response on a new connection shows that the host
	// reaches the pool.
	recentContact = 300 * time.Millisecond
	// minReached is the part of the probed targets that a host has to reach: with only a
	// few targets of many, it would send all its requests there.
	minReached = 0.3
	// minRounds is the number of rounds in a row that have to reach targets before a
	// cut counts as over. It doubles with each cut that begins within flapTime after
	// the one before, up to maxRounds.
	minRounds = 2
	maxRounds = 16
	flapTime  = 10 * time.Second
)

// state is what is known of one pool. It does no I/O and reads no clock.
type state struct {
	// contactAt is when the last response on a new connection arrived.
	contactAt time.Time
	// cut is true while the host counts as cut off, endedAt when the last cut ended.
	cut     bool
	endedAt time.Time
	// rounds counts the rounds in a row that reached targets in this cut, needed is
	// how many end it.
	rounds, needed int
}

// contacted records a response on a new connection.
func (s *state) contacted(now time.Time) { s.contactAt = now }

// inContact reports whether the host is known to reach the pool without a probe.
func (s *state) inContact(now time.Time) bool {
	return !s.cut && !s.contactAt.IsZero() && now.Sub(s.contactAt) < recentContact
}

// recordRound records a round of probes and returns true if the cut began or ended. A
// round that probed nothing says nothing.
func (s *state) recordRound(now time.Time, reached, probed int) (changed bool) {
	switch {
	case probed == 0:
		return false
	case float64(reached) < minReached*float64(probed):
		s.rounds = 0
		if s.cut {
			return false
		}
		s.begin(now)
		return true
	case !s.cut:
		return false
	}
	s.rounds++
	if s.rounds < s.needed {
		return false
	}
	s.cut, s.endedAt = false, now
	return true
}

func (s *state) begin(now time.Time) {
	if s.needed == 0 || now.Sub(s.endedAt) >= flapTime {
		s.needed = minRounds
	} else {
		s.needed = min(2*s.needed, maxRounds)
	}
	s.cut = true
}
