// Package table holds the two tables that operators edit, routes and pools:
// their types, their INI form, and the checks that a new version must pass.
// The types are plain data; nothing here runs.
package table

import (
	"net/netip"
	"slices"
	"time"
)

// Class is the kind of traffic a route carries.
type Class string

// The classes a route may name.
const (
	Lookup Class = "lookup"
	Order  Class = "order"
	Batch  Class = "batch"
)

// Target is one upstream address and the failure domain it stands in.
type Target struct {
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
}

// Pool names a group of targets.
type Pool struct {
	Name string `json:"name"`
	// Targets are the upstreams; empty when Service is set.
	Targets []Target `json:"targets,omitempty"`
	// Service names the host-list service that the targets come from.
	Service string `json:"service,omitempty"`
	// Drain lists targets that the operator takes out of service.
	Drain []netip.AddrPort `json:"drain,omitempty"`
	// ProbeBudget is the number of probes a second to one target, all entry
	// hosts together.
	ProbeBudget float64 `json:"probe_budget"`
	// LoadPath is the path of the load report, "" when there is none.
	LoadPath string `json:"load_path,omitempty"`
	// HealthPath is the path of the health endpoint, "" when there is none.
	HealthPath string `json:"health_path,omitempty"`
	// Slots is the number of requests that a target serves at once.
	Slots int `json:"slots"`
	// Connections is the number of connections a target accepts, shared by
	// all entry hosts.
	Connections int `json:"connections"`
	// Policy names the selection policy; "" selects the default.
	Policy string `json:"policy,omitempty"`
}

// Route says which requests go to which pool.
type Route struct {
	Name       string `json:"name"`
	PathPrefix string `json:"path_prefix"`
	// Methods are upper-case HTTP methods; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Callers are values of the X-Caller header; empty matches all.
	Callers []string `json:"callers,omitempty"`
	// Host matches the Host header without port; "" matches all.
	Host string `json:"host,omitempty"`
	// Pool names the pool; it is empty when Split is set.
	Pool string `json:"pool,omitempty"`
	// Split divides the requests among several pools.
	Split      []Share       `json:"split,omitempty"`
	Class      Class         `json:"class"`
	Idempotent bool          `json:"idempotent"`
	Timeout    time.Duration `json:"timeout"`
	// Retries is the highest number of further attempts; 0 on
	// non-idempotent routes.
	Retries int `json:"retries"`
	// HedgeAfter is the wait before a second copy of a lookup is sent; 0
	// switches hedging off.
	HedgeAfter time.Duration `json:"hedge_after,omitempty"`
	// Rank orders routes when there is no room for all; 0 goes first.
	Rank int `json:"rank,omitempty"`
	// Objective is the time within which an answer is worth most to its
	// caller; 0 names none.
	Objective time.Duration `json:"objective,omitempty"`
}

// Share is the part of a route's requests that a pool takes.
type Share struct {
	Pool string `json:"pool"`
	// Weight is the part, relative to the sum of the route's weights.
	Weight int `json:"weight"`
}

// Shares returns the pools of a route with their weights.
func (r Route) Shares() []Share {
	if len(r.Split) == 0 {
		return []Share{{Pool: r.Pool, Weight: 1}}
	}
	return r.Split
}

// Uses reports whether the route sends requests to a pool.
func (r Route) Uses(pool string) bool {
	return slices.ContainsFunc(r.Shares(), func(s Share) bool { return s.Pool == pool })
}

// Tables is one version of both tables. A Tables value is immutable once
// published and is swapped as one piece.
type Tables struct {
	// Version grows by one with every accepted change; 0 is the empty start.
	Version uint64           `json:"version"`
	Pools   map[string]Pool  `json:"pools"`
	Routes  map[string]Route `json:"routes"`
	// Limits bound what callers may send, beside the host's own settings.
	Limits CallerLimits `json:"limits,omitzero"`
}

// CallerLimits bound what a caller may send; zero values set no bound.
type CallerLimits struct {
	// HeaderBytes bounds the header of a request, its request line included.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the arrival of a header, IdleTimeout is how long a
	// kept connection waits for the next request.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}
