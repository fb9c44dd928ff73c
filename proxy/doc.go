// Package proxy is the HTTP/1.1 reverse proxy of a host: it accepts callers'
// requests, asks the interfaces of package lb for every decision, and
// forwards requests through package upstream.
//
// A request passes these steps: its header is checked and filtered
// (inbound.go), the route is found, its idempotency key is claimed if it has
// one, admission is requested (call.go), attempts are made as package attempt
// directs (attempts.go, exchange.go), and the response is forwarded completely
// or cut off in a way that the caller can't take for a complete one
// (response.go). A watcher (watch_linux.go) detects callers that close their
// connection in the meantime.
//
// The classes of requests are lookups, orders and batches. A request that is
// not idempotent, as an order usually is, must not run twice. A host can hand
// a request over to the host that owns a group of targets (peerserver.go). A
// group is the targets of one pool in one failure domain; see package owner.
//
// Each request has a call value of its own that is never reused, so that an
// attempt which ends late finds only its own request.
package proxy
