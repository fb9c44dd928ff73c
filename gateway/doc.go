// Package gateway runs an entry host: a process that load-balances callers'
// requests over the targets of a deployment. Targets register in a store, and
// operators write the routing tables there. The gateway keeps a copy of both up
// to date (package storesync), has a target chosen for each request by the host
// that is responsible for the request's pool (packages coordinator and
// placement) and forwards the request (package proxy). It has no persistent
// state: a host that starts reads everything again.
//
// While the store is unreachable, the last tables and targets stay in use, and
// targets whose calls fail are taken out of use for a time.
package gateway
