package table

import "time"

// Defaults of keys that a table file leaves out.
const (
	// DefaultSlots is the number of requests that a target serves concurrently.
	DefaultSlots = 2
	// DefaultConnections is the number of connections that a target accepts
	// from all hosts together.
	DefaultConnections = 250
	// DefaultProbeBudget is in probes per second to one target from all hosts
	// together.
	DefaultProbeBudget = 10.0
	// DefaultTimeout bounds a request when its route has no timeout.
	DefaultTimeout = 10 * time.Second
	// DefaultRetries is the number of attempts after the first on an idempotent
	// route; other routes have none.
	DefaultRetries = 1
)

// Bounds on the contents of the tables.
const (
	// MaxFileBytes bounds one table file.
	MaxFileBytes = 1 << 20
	// MaxPools and MaxRoutes bound the number of pools and of routes.
	MaxPools  = 500
	MaxRoutes = 2000
	// MaxPoolTargets bounds the number of targets of one pool, MaxTargets that
	// of all pools together.
	MaxPoolTargets = 1000
	MaxTargets     = 4000
	// MaxListItems bounds the number of callers and of methods of one route.
	MaxListItems = 500
	// MaxNameBytes bounds names of pools, routes, callers and services.
	MaxNameBytes = 64
	// MaxPathBytes bounds paths and path prefixes.
	MaxPathBytes = 512
	// MaxProbeBudget is in probes per second to one target.
	MaxProbeBudget = 1000.0
	// MaxSlots and MaxConnections bound the keys slots and connections of a
	// pool.
	MaxSlots       = 10_000
	MaxConnections = 100_000
	// MaxTimeout bounds a route's timeout and hedge_after.
	MaxTimeout = time.Hour
	// MaxRetries bounds the number of a route's attempts after the first.
	MaxRetries = 5
	// MaxSplit bounds the number of pools of one route, MaxWeight the weight of
	// each.
	MaxSplit  = 16
	MaxWeight = 1_000_000
	// MaxRank is the lowest priority that a route's rank can give.
	MaxRank = 9
)
