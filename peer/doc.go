// Package peer lets entry hosts tell each other what they know: heartbeats,
// load figures, targets that leave, and the version of the tables.
//
// Every round a Node syncs with a few random peers; both sides of an exchange
// send the same message. News is passed on at once to a few peers, each of
// which passes it on in turn, so that it reaches all hosts in a time that grows
// with the logarithm of their number. A byte budget, fed with the bytes that
// the connections really carry, shrinks the figures and then the rounds.
//
// Messages are twirp over HTTP. Bad tokens and messages with absurd content
// are refused and counted.
package peer
