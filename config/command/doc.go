// Package command changes the configuration: apply and delete.
//
// A change reads the accepted version, edits a copy, checks the whole, and
// writes it in one transaction on condition that the version is still the one
// that was read. Of two changes of the same version one gets a conflict;
// changes are never merged.
//
// A write whose acknowledgement was lost is settled by sending the same
// transaction again: the row of the change id says whether the first one took
// effect, so it is applied once. When that can't be settled within the call's
// time the result says unknown and names the change id to ask with later; the
// same change id may be sent again at any time.
package command
