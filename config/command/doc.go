// Package command changes the configuration in the table service: apply and
// delete.
//
// A change reads the accepted version, edits a copy, validates the result as a
// whole, and writes it in one transaction on condition that the version is
// still the one that was read (optimistic concurrency control). Of two
// concurrent changes to the same version one gets a conflict; changes are never
// merged.
//
// When the acknowledgement of a write is lost, the same transaction is sent
// again: the row of the change id shows whether the first one was applied, so
// the change is applied only once. When the outcome can't be determined within
// the timeout, the result is unknown and names the change id to look it up with
// later. The same change id may be sent again at any time.
package command
