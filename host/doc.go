// Package host assembles one entry host from the packages of the project.
//
// New takes validated settings, binds the addresses and wires the components
// by dependency injection, with one provider file per concern: cloud.go,
// members.go, config.go, forwarding.go, admin.go. Start runs the components;
// Stop shuts the host down gracefully. Several hosts may run in one process,
// each with its own metrics registry, as tests and the lab do.
package host
