package config

import "time"

// Status is a host's installed version and its contact with the table service.
type Status struct {
	// Ready is true once a version is installed.
	Ready   bool   `json:"ready"`
	Version uint64 `json:"version"`
	// Source names the source of the installed version.
	Source string `json:"source,omitempty"`
	// Known is the highest version learned of from any source.
	Known uint64 `json:"known_version"`
	// StoreReachable is true when the last poll of the table service succeeded.
	StoreReachable bool `json:"store_reachable"`
	// SinceStoreContact is the time since the table service last answered, or
	// since the start when it never did.
	SinceStoreContact time.Duration `json:"since_store_contact_ns"`
}

// Status returns the state of this host's configuration.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	contact := k.core.store.lastContact
	if contact.IsZero() {
		contact = k.core.started
	}
	s := Status{
		Known:             k.core.sources.highest,
		StoreReachable:    k.core.store.answered && k.core.store.failures == 0,
		SinceStoreContact: now.Sub(contact),
	}
	if h := k.core.installed; h != nil {
		s.Ready, s.Version, s.Source = true, h.tables.Version, h.source.String()
	}
	return s
}
