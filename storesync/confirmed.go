package storesync

import "time"

// maxTablesDelay is the age of the last confirmation up to which the tables in force
// hold every change that hosts must have put in force: a change must be in force
// within 2.5 s. Confirmations are usually younger than 1.3 s.
const maxTablesDelay = 2 * time.Second

// TablesConfirmed reports whether the tables in force were the store's newest at most
// maxTablesDelay ago. Without the store and its readers it turns false, as it does while
// the newest tables can't be used.
func (f *Follower) TablesConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unusableAt.IsZero() && f.Clock.Now().Sub(f.lastConfirmedAt) <= maxTablesDelay
}
