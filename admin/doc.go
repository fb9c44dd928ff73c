// Package admin is the HTTP server for the operators of a host: the JSON API
// that chestnutctl uses, Prometheus metrics, and the health and readiness
// checks.
//
// Options say whether requests need a bearer token, a client certificate, or
// both. Without either the server accepts loopback listeners only. The health
// and readiness checks need no authentication.
package admin
