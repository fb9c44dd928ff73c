package membership

import (
	"context"

	"github.com/chestnutfield/chestnutfield/lb"
)

var (
	_ lb.Membership = (*Service)(nil)
	_ lb.Lease      = (*Service)(nil)
)

// LiveHosts returns the names of the live hosts whose heartbeat grew within the
// last lease period, this one included, sorted.
func (s *Service) LiveHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.LiveHosts(s.opt.Clock.Now())
}

// ShareDivisor returns the number by which a shared limit is divided to get this
// host's share.
func (s *Service) ShareDivisor() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ShareDivisor(s.opt.Clock.Now())
}

// Informed reports whether the list of members is more than this host alone because
// nothing is known yet.
func (s *Service) Informed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Informed()
}

// HostsKnown reports whether Members holds all hosts, as far as this one can tell.
func (s *Service) HostsKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HostsKnown(s.opt.Clock.Now())
}

// Held reports whether this host holds its lease now, and so may use its share
// of the limits that the lease guards.
func (s *Service) Held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Held(s.opt.Clock.Now())
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

// Peers returns up to k random hosts to exchange messages with.
func (s *Service) Peers(k int) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Peers(s.opt.Clock.Now(), k)
}

// Digest is the membership content of a message to a peer.
type Digest struct {
	Self       Member
	Hash       uint64
	Changes    []Member
	Heartbeats []HeartbeatUpdate
}

// Digest returns the content for a message, with up to changes members and
// heartbeats heartbeats.
func (s *Service) Digest(changes, heartbeats int) Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Clock.Now()
	return Digest{
		Self: s.core.Self(), Hash: s.core.Hash(),
		Changes: s.core.RecentChanges(now, changes), Heartbeats: s.core.RecentHeartbeats(now, heartbeats),
	}
}

// HandlePeerUpdate merges the membership content of a peer's message. It
// reports whether a host has newly become Leaving or Gone, which should be sent
// to other peers at once.
func (s *Service) HandlePeerUpdate(u PeerUpdate) bool {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	result := s.core.HandlePeerUpdate(now, u.RequestSentAt, u.Members, u.Heartbeats)
	s.mu.Unlock()
	s.performAll(context.Background(), result.Actions)
	return result.Urgent
}
