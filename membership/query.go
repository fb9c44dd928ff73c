package membership

import (
	"context"

	"github.com/chestnutfield/chestnutfield/ports"
)

var (
	_ ports.Membership = (*Service)(nil)
	_ ports.Lease      = (*Service)(nil)
)

// Hosts returns the names of the hosts believed live, sorted.
func (s *Service) Hosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Hosts(s.opt.Clock.Now())
}

// ShareCount returns the number that a shared limit is divided by.
func (s *Service) ShareCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ShareCount(s.opt.Clock.Now())
}

// Holds reports whether this host may act now on what its lease covers.
func (s *Service) Holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Holds(s.opt.Clock.Now())
}

// Self returns this host's own entry.
func (s *Service) Self() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Self()
}

// Members returns every counted host, this one included, sorted by name.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Members()
}

// Peers chooses up to k other hosts for an exchange.
func (s *Service) Peers(k int) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Peers(s.opt.Clock.Now(), k)
}

// Digest is what a message to a peer carries of the membership.
type Digest struct {
	Self    Member
	Hash    uint64
	Changes []Member
	Beats   []Beat
}

// Digest returns what is worth telling a peer, with up to changes members and
// beats heartbeats.
func (s *Service) Digest(changes, beats int) Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Clock.Now()
	return Digest{
		Self: s.core.Self(), Hash: s.core.Hash(),
		Changes: s.core.Changes(now, changes), Beats: s.core.Beats(now, beats),
	}
}

// Heard takes in the entries of a peer's message. It reports whether it
// was news of a leaving host, which is worth passing on at once.
func (s *Service) Heard(h Hearing) bool {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	news := s.core.Heard(now, h.Since, h.Members, h.Beats)
	s.mu.Unlock()
	s.performAll(context.Background(), news.Actions)
	return news.Urgent
}
