// Package proxy is the callers' side of an entry host: it takes requests,
// asks the decisions behind package ports, and forwards through package
// upstream.
//
// The way of one request: the header is checked and filtered (inbound.go),
// the route found, an order key claimed, admission asked (call.go), attempts
// made as package attempt says (drive.go, exchange.go), and the answer given
// whole or cut so that it can't be taken for a whole one (answer.go).
// A watcher (watch_linux.go) notices callers that go away meanwhile.
//
// Each request has a call value of its own that is never reused, so that an
// attempt which ends late finds only its own request.
package proxy
