// Package hedge decides when a second copy of an idempotent request is worth
// sending to another target: when the first copy takes longer than most requests of
// its route take now. The load that it answers is a pool of which some targets are
// slow, so that a few responses are many times later than the others.
//
// The package does no I/O and reads no clock.
package hedge
