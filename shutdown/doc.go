// Package shutdown decides what a host that is being stopped still does with its
// requests. A planned stop has a Schedule. Each request gets a time until which it may
// be passed on to a target, by the time that requests of its kind take; one that is not
// passed on by then is refused as not run while its caller can still be told, so that
// the caller repeats it at another host at once. The load that this answers is a host
// that is stopped while requests wait for targets, or while callers are still sending.
//
// The package does no I/O and reads no clock.
package shutdown
