// Package peerpb holds the messages and the twirp service of the exchange
// between entry hosts, generated from peer.proto by make generate.
package peerpb
