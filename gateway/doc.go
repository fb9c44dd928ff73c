// Package gateway runs an entry host on a deployment whose targets register
// in a store and whose operators leave the tables there. It follows the store
// (package news), places requests at the desks of their pools (packages desk
// and placement) and forwards them (package proxy). It keeps nothing: a host that
// starts reads everything anew.
//
// While the store is out of reach, the last tables and targets stay in use;
// calls that fail set targets aside.
package gateway
