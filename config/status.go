package config

import "time"

// Status is a host's installed version and its contact with the table service.
type Status struct {
	// Ready is true once a version is installed.
	Ready   bool   `json:"ready"`
	Version uint64 `json:"version"`
	// Source names the source of the installed version.
	Source string `json:"source,omitempty"`
	// HighestKnownVersion is the highest version learned of from any source.
	HighestKnownVersion uint64 `json:"known_version"`
	// UndecodableVersion is a version above Version that this host could not decode,
	// UndecodableProblem the error; 0 and "" when there is none.
	UndecodableVersion uint64 `json:"undecodable_version,omitempty"`
	UndecodableProblem string `json:"undecodable_problem,omitempty"`
	// StoreReachable is true when the last poll of the table service succeeded.
	StoreReachable bool `json:"store_reachable"`
	// SinceStoreContact is the time since the table service last answered, or
	// since the start when it never did.
	SinceStoreContact time.Duration `json:"since_store_contact_ns"`
}

// Status returns the state of this host's configuration.
func (s *Syncer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	contact := s.core.store.lastContact
	if contact.IsZero() {
		contact = s.core.started
	}
	st := Status{
		HighestKnownVersion: s.core.sources.highest,
		UndecodableVersion:  s.core.undecodable.version,
		UndecodableProblem:  s.core.undecodable.problem,
		StoreReachable:      s.core.store.answered && s.core.store.failures == 0,
		SinceStoreContact:   now.Sub(contact),
	}
	if l := s.core.installed; l != nil {
		st.Ready, st.Version, st.Source = true, l.tables.Version, l.source.String()
	}
	return st
}
