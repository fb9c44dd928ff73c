// Package table holds the routing configuration, the tables that operators edit:
// routes, which match requests, pools, the sets of targets that serve them, and
// workspaces, whose API keys requests carry. It has their types, their INI form,
// their encoded form for storage, and the validation that a new version must pass.
// The types are plain data; the package starts no goroutines and does no I/O.
package table

import (
	"net/netip"
	"slices"
	"time"
)

// Class is the traffic class of a route's requests.
type Class string

// The traffic classes of routes.
const (
	Lookup Class = "lookup"
	Order  Class = "order"
	Batch  Class = "batch"
)

// Target is the address of one upstream and the failure domain it is in.
type Target struct {
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
}

// Pool is a named set of targets with the settings that they share.
type Pool struct {
	Name string `json:"name"`
	// Targets are the upstreams; empty when Service is set.
	Targets []Target `json:"targets,omitempty"`
	// Service names the host-list service that the targets come from.
	Service string `json:"service,omitempty"`
	// Drain lists targets that the operator takes out of service; they get no
	// new requests.
	Drain []netip.AddrPort `json:"drain,omitempty"`
	// ProbeBudget is the highest number of probes per second to one target
	// from all hosts together.
	ProbeBudget float64 `json:"probe_budget"`
	// LoadPath is the URL path of the targets' load report, "" when there is
	// none.
	LoadPath string `json:"load_path,omitempty"`
	// HealthPath is the URL path of the targets' health endpoint, "" when there
	// is none.
	HealthPath string `json:"health_path,omitempty"`
	// Slots is the number of requests that a target serves concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that a target accepts from all
	// hosts together.
	Connections int `json:"connections"`
	// Policy is the name of the load-balancing policy, one of Policies; ""
	// selects PolicyOwned.
	Policy string `json:"policy,omitempty"`
	// WarmupPerSecond is the number of requests a second that a target takes from
	// all hosts together while it warms up; 0 sets no limit.
	WarmupPerSecond float64 `json:"warmup_per_second,omitempty"`
}

// Route matches requests and names the pool or pools that serve them.
type Route struct {
	Name       string `json:"name"`
	PathPrefix string `json:"path_prefix"`
	// Methods are the HTTP methods that match, in upper case; empty matches
	// all.
	Methods []string `json:"methods,omitempty"`
	// Callers are the values of the X-Caller header that match; empty matches
	// all.
	Callers []string `json:"callers,omitempty"`
	// Host is the value of the Host header, without port and in lower case,
	// that matches; "" matches all.
	Host string `json:"host,omitempty"`
	// Pool names the pool; it is empty when Split is set.
	Pool string `json:"pool,omitempty"`
	// Split divides the requests among several pools by weight; it is empty
	// when Pool is set.
	Split      []WeightedPool `json:"split,omitempty"`
	Class      Class          `json:"class"`
	Idempotent bool           `json:"idempotent"`
	Timeout    time.Duration  `json:"timeout"`
	// Retries is the highest number of attempts after the first; 0 on
	// non-idempotent routes.
	Retries int `json:"retries"`
	// HedgeAfter is the wait for a response before a second copy of a lookup
	// is sent; 0 disables hedging.
	HedgeAfter time.Duration `json:"hedge_after,omitempty"`
	// Rank is the priority of the route's requests when not all can be served;
	// 0 is served first.
	Rank int `json:"rank,omitempty"`
	// Objective is the latency objective: the time within which a response
	// is worth most to its caller; 0 sets none.
	Objective time.Duration `json:"objective,omitempty"`
	// Public is true when requests need no API key although the tables have
	// workspaces.
	Public bool `json:"public,omitempty"`
	// Upload is true when requests carry large bodies. Such a route is never
	// idempotent.
	Upload bool `json:"upload,omitempty"`
	// Regions are the regions whose targets may serve the requests; empty allows
	// all.
	Regions []string `json:"regions,omitempty"`
	// Unusable is true when something is wrong with the entry of an accepted route:
	// its requests are refused as not run.
	Unusable bool `json:"unusable,omitempty"`
}

// WeightedPool is a pool of a route with its weight.
type WeightedPool struct {
	Pool string `json:"pool"`
	// Weight is the pool's share of the requests, relative to the sum of the
	// weights of the route.
	Weight int `json:"weight"`
}

// WeightedPools returns the pools of a route with their weights; a route
// without Split has one pool of weight 1.
func (r Route) WeightedPools() []WeightedPool {
	if len(r.Split) == 0 {
		return []WeightedPool{{Pool: r.Pool, Weight: 1}}
	}
	return r.Split
}

// Uses reports whether the route sends requests to the pool of the given name.
func (r Route) Uses(pool string) bool {
	return slices.ContainsFunc(r.WeightedPools(), func(s WeightedPool) bool { return s.Pool == pool })
}

// Tables is one version of both tables. A Tables value must not be modified
// once other goroutines can read it; a new version replaces it as a whole.
type Tables struct {
	// Version grows by one with every accepted change; 0 is the empty tables
	// before the first change.
	Version uint64           `json:"version"`
	Pools   map[string]Pool  `json:"pools"`
	Routes  map[string]Route `json:"routes"`
	// Limits bound what callers may send, in addition to the limits in the
	// host's settings.
	Limits CallerLimits `json:"limits,omitzero"`
	// Workspaces are the customers whose API keys requests must carry; nil means
	// that requests need no key.
	Workspaces map[string]Workspace `json:"workspaces,omitzero"`
	// Evacuated are the failure domains, sorted, whose targets get no requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// EvacuatedVersion is the version of the store from which Evacuated is known; 0
	// when Evacuated is part of the tables themselves.
	EvacuatedVersion uint64 `json:"evacuated_version,omitempty"`
	// Incomplete is true when accepted tables had an entry that was left out as
	// unusable: a request that matches no route or no key may belong to it.
	Incomplete bool `json:"incomplete,omitempty"`
}

// CallerLimits are bounds on callers' connections and requests; zero values set
// no bound.
type CallerLimits struct {
	// HeaderBytes bounds the header of a request, including the request line.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the time in which a header must arrive. IdleTimeout
	// is how long a keep-alive connection waits for the next request.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}
