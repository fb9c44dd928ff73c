// Package admin is the operators' side of a host: the JSON API behind
// chestnutctl, Prometheus metrics, and the health and readiness checks.
//
// Access needs a bearer token, a client certificate, or both, as Options say.
// Without either the server serves loopback listeners only. The health and
// readiness checks are open to whoever reaches the address.
package admin
