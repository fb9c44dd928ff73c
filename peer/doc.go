// Package peer exchanges state between entry hosts by gossip: heartbeats, load
// loads of targets, draining targets, and the version of the configuration
// tables.
//
// In every round a Node syncs with a few random peers; the request and the
// answer of an exchange are messages of the same type. News is also pushed to a
// few peers at once. They push it on in turn, so that it reaches all hosts in a
// time that grows with the logarithm of their number. A budget counts the bytes
// that the connections carry, with HTTP and TLS; when it runs low, messages
// first contain fewer loads, and then rounds are skipped.
//
// Messages are sent as Twirp calls over HTTP. Requests with a wrong token and
// messages with invalid content are rejected and counted.
package peer
