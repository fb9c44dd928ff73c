// Package host assembles one entry host, a process that load-balances callers'
// requests, from the packages of the project. It is the kind of entry host that
// uses the platform's table service, object store and host list; package gateway
// runs the kind that reads a store in which targets register.
//
// New takes validated settings, binds the addresses and wires the components
// by dependency injection, with one provider file per concern: cloud.go,
// members.go, config.go, forwarding.go, admin.go. Start runs the components;
// Stop shuts the host down gracefully. Several hosts may run in one process,
// each with its own metrics registry, as tests and the lab do.
package host
