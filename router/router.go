// Package router compiles one version of the tables into an immutable matcher.
// The longest path prefix wins, then the more specific match: a route that
// names the host before one that does not, then the caller, then the method
// (table.Route.Specificity).
package router

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

// Request is what a route is chosen by.
type Request struct {
	Method string
	// Path is the path without the query.
	Path   string
	Caller string
	// Host is the Host header without the port.
	Host string
	// Draw chooses the pool of a route that splits its requests; it is uniform
	// over all values and the same for every look at one request.
	Draw uint64
}

// Match is a route and its pool.
type Match struct {
	Route *table.Route
	Pool  *table.Pool
}

// share is a pool and the end of its part of the route's weights.
type share struct {
	pool *table.Pool
	end  uint64
}

type entry struct {
	route   *table.Route
	shares  []share
	methods map[string]struct{}
	callers map[string]struct{}
	host    string
	weight  int
}

// Router matches requests against one version. It is safe for concurrent use.
type Router struct {
	version uint64
	// byPrefix holds the routes of a prefix, most specific first.
	byPrefix map[string][]entry
	// lengths holds the distinct prefix lengths, longest first.
	lengths []int
}

// Compile builds the matcher of a version. Shares of a pool that the version
// does not hold are left out; validation refuses them before.
func Compile(t *table.Tables) *Router {
	r := &Router{version: t.Version, byPrefix: make(map[string][]entry, len(t.Routes))}
	for _, name := range slices.Sorted(maps.Keys(t.Routes)) {
		route := t.Routes[name]
		if shares := sharesOf(t, route); len(shares) > 0 {
			r.byPrefix[route.PathPrefix] = append(r.byPrefix[route.PathPrefix], newEntry(route, shares))
		}
	}
	for prefix, entries := range r.byPrefix {
		slices.SortStableFunc(entries, func(a, b entry) int { return b.weight - a.weight })
		r.lengths = append(r.lengths, len(prefix))
	}
	r.lengths = lo.Uniq(r.lengths)
	slices.SortFunc(r.lengths, func(a, b int) int { return b - a })
	return r
}

// sharesOf lists the pools of a route with the ends of their parts.
func sharesOf(t *table.Tables, route table.Route) []share {
	var shares []share
	end := uint64(0)
	for _, s := range route.Shares() {
		pool, ok := t.Pools[s.Pool]
		if !ok || s.Weight < 1 {
			continue
		}
		end += uint64(s.Weight)
		shares = append(shares, share{pool: &pool, end: end})
	}
	return shares
}

func newEntry(route table.Route, shares []share) entry {
	e := entry{
		route:   &route,
		shares:  shares,
		methods: set(route.Methods),
		callers: set(route.Callers),
		host:    route.Host,
	}
	named := route
	if e.methods == nil {
		named.Methods = nil
	}
	if e.callers == nil {
		named.Callers = nil
	}
	e.weight = named.Specificity()
	return e
}

// set returns nil for an empty list and for one that names "*".
func set(names []string) map[string]struct{} {
	if len(names) == 0 || slices.Contains(names, "*") {
		return nil
	}
	return lo.Keyify(names)
}

// Version is the version that the matcher was compiled from.
func (r *Router) Version() uint64 { return r.version }

// Match finds the route of a request; ok is false when there is none.
func (r *Router) Match(q Request) (m Match, ok bool) {
	for _, n := range r.lengths {
		if n > len(q.Path) {
			continue
		}
		for i := range r.byPrefix[q.Path[:n]] {
			e := &r.byPrefix[q.Path[:n]][i]
			if e.matches(q) {
				return Match{Route: e.route, Pool: e.pool(q.Draw)}, true
			}
		}
	}
	return Match{}, false
}

// pool chooses by weight.
func (e *entry) pool(draw uint64) *table.Pool {
	last := e.shares[len(e.shares)-1]
	at := draw % last.end
	for _, s := range e.shares {
		if at < s.end {
			return s.pool
		}
	}
	return last.pool
}

func (e *entry) matches(q Request) bool {
	if e.methods != nil {
		if _, ok := e.methods[q.Method]; !ok {
			return false
		}
	}
	if e.callers != nil {
		if _, ok := e.callers[q.Caller]; !ok {
			return false
		}
	}
	return e.host == "" || strings.EqualFold(e.host, q.Host)
}

// Holder keeps the matcher of the version in force.
type Holder struct {
	tables  ports.Tables
	current atomic.Pointer[compiled]
}

type compiled struct {
	from   *table.Tables
	router *Router
}

// NewHolder returns a holder that follows tables.
func NewHolder(tables ports.Tables) *Holder { return &Holder{tables: tables} }

// Router returns the matcher of the version in force. A request calls it once
// and keeps the result, so that it never sees half of a change.
func (h *Holder) Router() *Router {
	t := h.tables.Current()
	if c := h.current.Load(); c != nil && c.from == t {
		return c.router
	}
	c := &compiled{from: t, router: Compile(t)}
	h.current.Store(c)
	return c.router
}
