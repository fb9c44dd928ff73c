package table

import "time"

// Values that a key takes when the file does not give it.
const (
	// DefaultSlots is the number of requests that a target serves at once.
	DefaultSlots = 2
	// DefaultConnections is the number of connections that a target accepts
	// from all entry hosts together.
	DefaultConnections = 250
	// DefaultProbeBudget is in probes a second to one target, all entry hosts
	// together.
	DefaultProbeBudget = 10.0
	// DefaultTimeout bounds a request when its route has no timeout.
	DefaultTimeout = 10 * time.Second
	// DefaultRetries is the number of further attempts of an idempotent
	// route; other routes have none.
	DefaultRetries = 1
)

// Bounds on what a version may hold.
const (
	// MaxFileBytes bounds one table file.
	MaxFileBytes = 1 << 20
	// MaxPools and MaxRoutes bound the sections of the two tables.
	MaxPools  = 500
	MaxRoutes = 2000
	// MaxPoolTargets bounds the targets of one pool, MaxTargets of all.
	MaxPoolTargets = 1000
	MaxTargets     = 4000
	// MaxListItems bounds the callers or methods of one route.
	MaxListItems = 500
	// MaxNameBytes bounds names of pools, routes, callers and services.
	MaxNameBytes = 64
	// MaxPathBytes bounds paths and path prefixes.
	MaxPathBytes = 512
	// MaxProbeBudget is in probes a second to one target.
	MaxProbeBudget = 1000.0
	// MaxSlots and MaxConnections bound what a target is said to take.
	MaxSlots       = 10_000
	MaxConnections = 100_000
	// MaxTimeout bounds a route's timeout and hedge_after.
	MaxTimeout = time.Hour
	// MaxRetries bounds a route's further attempts.
	MaxRetries = 5
	// MaxSplit bounds the pools of one route, MaxWeight the weight of each.
	MaxSplit  = 16
	MaxWeight = 1_000_000
	// MaxRank bounds a route's rank.
	MaxRank = 9
)
