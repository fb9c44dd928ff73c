// Package gateway runs an entry host: a process that load-balances callers'
// requests over the targets of a deployment. Targets register in a store, and
// operators write the routing tables there. The gateway keeps a copy of both up
// to date (package storesync), asks the coordinator, the host that places the
// requests of the pool partition, for a target for each request (packages
// coordinator and placement), and forwards the request to that target (package
// proxy). It has no persistent state: a host that starts reads everything again.
//
// While the store is unreachable, the last tables and targets stay in use, and
// targets whose calls fail are taken out of use for a time.
package gateway
