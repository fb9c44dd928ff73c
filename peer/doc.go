// Package peer exchanges state between entry hosts by gossip: heartbeats, loads
// of targets, draining targets, and the version of the configuration tables.
//
// In every round a Node exchanges messages with a few random peers; the request
// and the response of an exchange are of the same type. News is also pushed to a
// few peers at once: a host that is leaving or gone, a target that is draining,
// or a new version of the tables. They push it on in turn, so that it reaches all
// hosts in a time that grows with the logarithm of their number. A budget counts
// the bytes that the connections carry, with HTTP and TLS; when it runs low,
// messages first contain fewer loads and members, and then rounds are skipped.
//
// Messages are sent as Twirp calls over HTTP. Requests with a wrong token and
// messages with invalid content are rejected and counted.
package peer
