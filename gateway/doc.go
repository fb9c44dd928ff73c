// Package gateway runs an entry host on a deployment whose targets register
// in a store and whose operators leave the tables there. It follows the store
// (follow.go), places requests by fresh reports of the targets (package
// placement) and forwards them (package proxy). It keeps nothing: a host that
// starts reads everything anew.
//
// While the store is out of reach, the last tables and targets stay in use;
// calls that fail set targets aside.
package gateway
