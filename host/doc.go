// Package host assembles one entry host from the packages of the project.
//
// New reads checked settings and wires the parts by dependency injection, one
// provider file a concern: platform.go, members.go, config.go, forwarding.go,
// admin.go. Start binds the addresses and runs the parts; Stop is a planned
// stop. Several hosts may run in one process, each with its own metrics
// registry, as tests and the lab do.
package host
