// Package router matches requests against the routes of the configuration
// tables. Compile makes an immutable Router of one version of the tables. The
// longest matching path prefix wins. Among routes with the same prefix, a route
// that names the host goes before one that doesn't, then one that names the
// caller, then one that names the method (table.Route.Specificity).
package router

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

// Request holds the properties of a request that select its route.
type Request struct {
	Method string
	// Path is the path without the query.
	Path   string
	Caller string
	// Host is the Host header without the port.
	Host string
	// SplitHash selects the pool of a route that splits its requests by weight.
	// It must be uniformly distributed over all values, and the same for every
	// match of one request.
	SplitHash uint64
}

// Match is the route of a request and the pool selected for it.
type Match struct {
	Route *table.Route
	// Pool is nil if the route is unusable.
	Pool *table.Pool
}

// weightedPool is a pool of a route and the sum of the weights up to and
// including its own.
type weightedPool struct {
	pool       *table.Pool
	cumulative uint64
}

type compiledRoute struct {
	route       *table.Route
	pools       []weightedPool
	methods     map[string]struct{}
	callers     map[string]struct{}
	specificity int
}

// place is what many routes differ in. The host is in lower case, "" for routes without.
type place struct{ host, prefix string }

// Router matches requests against one version of the tables. It is safe for
// concurrent use.
type Router struct {
	version    uint64
	incomplete bool
	// asWritten finds routes by their prefixes, normalized by their normalized
	// prefixes; both are the same unless a prefix is not normalized.
	asWritten, normalized *routeIndex
	keys                  *table.KeyIndex
}

// routeIndex finds routes by host and path prefix.
type routeIndex struct {
	// byPlace holds the routes by host and path prefix, most specific first.
	byPlace map[place][]compiledRoute
	// prefixLengths holds the distinct prefix lengths, longest first.
	prefixLengths []int
}

// Compile returns the Router of one version of the tables. It skips pools that
// the version doesn't contain, and routes without any other pool unless they are
// marked as unusable.
func Compile(t *table.Tables) *Router {
	r := &Router{version: t.Version, incomplete: t.Incomplete, keys: table.NewKeyIndex(t)}
	routes, pools, allNormal := make([]compiledRoute, 0, len(t.Routes)), newPoolIndex(t), true
	for _, name := range slices.Sorted(maps.Keys(t.Routes)) {
		route := t.Routes[name]
		pools := pools.weighted(route)
		if route.Unusable {
			// It keeps its requests from a route with a shorter prefix.
			pools = nil
		} else if len(pools) == 0 {
			continue
		}
		routes = append(routes, newCompiledRoute(route, pools))
		allNormal = allNormal && NormalizedPath(route.PathPrefix) == route.PathPrefix
	}
	r.asWritten = newRouteIndex(routes, func(prefix string) string { return prefix })
	r.normalized = r.asWritten
	if !allNormal {
		r.normalized = newRouteIndex(routes, NormalizedPath)
	}
	return r
}

// newRouteIndex returns an index of routes by a form of their prefixes.
func newRouteIndex(routes []compiledRoute, form func(prefix string) string) *routeIndex {
	x := &routeIndex{byPlace: make(map[place][]compiledRoute, len(routes))}
	for _, c := range routes {
		at := place{strings.ToLower(c.route.Host), form(c.route.PathPrefix)}
		x.byPlace[at] = append(x.byPlace[at], c)
	}
	lengths := map[int]struct{}{}
	for at, same := range x.byPlace {
		slices.SortStableFunc(same, func(a, b compiledRoute) int { return b.specificity - a.specificity })
		lengths[len(at.prefix)] = struct{}{}
	}
	x.prefixLengths = lo.Keys(lengths)
	slices.SortFunc(x.prefixLengths, func(a, b int) int { return b - a })
	return x
}

// NormalizedPath returns the path with percent escapes decoded, dot segments
// resolved and repeated slashes merged, as an upstream may interpret it.
func NormalizedPath(path string) string {
	if !strings.ContainsAny(path, "%\\") && !strings.Contains(path, "//") && !strings.Contains(path, "/.") {
		return path
	}
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	uri.SetPath(path)
	return string(uri.Path())
}

// poolIndex holds the pools of tables, which their routes share: alone, and as what a
// route without a split has.
type poolIndex struct {
	pools  map[string]*table.Pool
	single map[string][]weightedPool
}

func newPoolIndex(t *table.Tables) poolIndex {
	i := poolIndex{pools: make(map[string]*table.Pool, len(t.Pools)), single: make(map[string][]weightedPool, len(t.Pools))}
	for name, pool := range t.Pools {
		i.pools[name], i.single[name] = &pool, []weightedPool{{pool: &pool, cumulative: 1}}
	}
	return i
}

// weighted returns the pools of a route with their cumulative weights.
func (i poolIndex) weighted(route table.Route) []weightedPool {
	if len(route.Split) == 0 {
		return i.single[route.Pool]
	}
	var pools []weightedPool
	cumulative := uint64(0)
	for _, s := range route.Split {
		pool, ok := i.pools[s.Pool]
		if !ok || s.Weight < 1 {
			continue
		}
		cumulative += uint64(s.Weight)
		pools = append(pools, weightedPool{pool: pool, cumulative: cumulative})
	}
	return pools
}

func newCompiledRoute(route table.Route, pools []weightedPool) compiledRoute {
	c := compiledRoute{
		route:   &route,
		pools:   pools,
		methods: nameSet(route.Methods),
		callers: nameSet(route.Callers),
	}
	// Lists that contain "*" don't make a route more specific.
	named := route
	if c.methods == nil {
		named.Methods = nil
	}
	if c.callers == nil {
		named.Callers = nil
	}
	c.specificity = named.Specificity()
	return c
}

// nameSet returns the set of names, nil for an empty list and for one that
// contains "*".
func nameSet(names []string) map[string]struct{} {
	if len(names) == 0 || slices.Contains(names, "*") {
		return nil
	}
	return lo.Keyify(names)
}

// Version returns the version of the tables that the Router was compiled from.
func (r *Router) Version() uint64 { return r.version }

// Incomplete reports whether an unusable entry was left out of the tables.
func (r *Router) Incomplete() bool { return r.incomplete }

// Keys returns the index of the API keys of the same version.
func (r *Router) Keys() *table.KeyIndex { return r.keys }

// Match returns the route and pool of a request; ok is false when no route
// matches.
func (r *Router) Match(q Request) (m Match, ok bool) { return r.asWritten.match(q) }

// MatchNormalized returns the route and pool of a request with a normalized path, by
// the normalized prefixes.
func (r *Router) MatchNormalized(q Request) (m Match, ok bool) { return r.normalized.match(q) }

func (x *routeIndex) match(q Request) (m Match, ok bool) {
	host := strings.ToLower(q.Host)
	for _, n := range x.prefixLengths {
		if n > len(q.Path) {
			continue
		}
		c := firstMatch(x.byPlace[place{host, q.Path[:n]}], q)
		if c == nil && host != "" {
			// Any route with a host is more specific than those without.
			c = firstMatch(x.byPlace[place{"", q.Path[:n]}], q)
		}
		if c != nil {
			return Match{Route: c.route, Pool: c.pool(q.SplitHash)}, true
		}
	}
	return Match{}, false
}

// firstMatch returns the first route of a host and prefix that matches a request, nil
// if none does.
func firstMatch(routes []compiledRoute, q Request) *compiledRoute {
	for i := range routes {
		if routes[i].matches(q) {
			return &routes[i]
		}
	}
	return nil
}

// pool selects a pool by weight; nil for an unusable route.
func (c *compiledRoute) pool(splitHash uint64) *table.Pool {
	if len(c.pools) == 0 {
		return nil
	}
	last := c.pools[len(c.pools)-1]
	point := splitHash % last.cumulative
	for _, s := range c.pools {
		if point < s.cumulative {
			return s.pool
		}
	}
	return last.pool
}

// matches reports whether a route of the request's host and prefix matches it.
func (c *compiledRoute) matches(q Request) bool {
	if c.methods != nil {
		if _, ok := c.methods[q.Method]; !ok {
			return false
		}
	}
	if c.callers != nil {
		if _, ok := c.callers[q.Caller]; !ok {
			return false
		}
	}
	return true
}

// Cache caches the Router of the current version of the tables.
type Cache struct {
	tables  lb.Tables
	current atomic.Pointer[cached]
	// compiling is held while a version is compiled: with thousands of keys that
	// takes milliseconds, which all requests of that moment would spend otherwise.
	compiling sync.Mutex
}

type cached struct {
	tables *table.Tables
	router *Router
}

// NewCache returns a Cache for the current version of tables.
func NewCache(tables lb.Tables) *Cache { return &Cache{tables: tables} }

// Router returns the Router of the current version, compiling it when its
// routes have changed. Each request must call it once and keep the result, so
// that it never sees parts of two versions.
func (c *Cache) Router() *Router {
	t := c.tables.Current()
	if entry := c.current.Load(); entry != nil && entry.tables == t {
		return entry.router
	}
	c.compiling.Lock()
	defer c.compiling.Unlock()
	t = c.tables.Current()
	last := c.current.Load()
	if last != nil && last.tables == t {
		return last.router
	}
	entry := &cached{tables: t}
	if last != nil && last.tables.SameRoutes(t) {
		entry.router = last.router
	} else {
		entry.router = Compile(t)
	}
	c.current.Store(entry)
	return entry.router
}
