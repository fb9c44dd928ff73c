// Package detour serves the callers of a host that is cut off from the targets of a
// pool: it hands their requests over to hosts that reach the pool, its relays, which
// place and send them as their own.
//
// A host looks for relays only while it is cut off. It asks a few random hosts, keeps
// those that reach the pool for a short time, and spreads its requests over them. A
// relay never hands a request over again. The host that received the request alone
// decides about retries, so a request that may have run is not run twice on the way.
package detour
