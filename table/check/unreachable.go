package check

import (
	"maps"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/table"
)

// unreachable returns findings about entries that no request reaches.
func (c *Configuration) unreachable() []Finding {
	return slices.Concat(c.shadowedRoutes(), c.unusedPools(), c.keylessWorkspaces())
}

// unusedPools returns the pools that no route names, and as notes those that get no
// requests from a split, which is how a pool is added or retired.
func (c *Configuration) unusedPools() []Finding {
	var out []Finding
	used := map[string]bool{}
	for _, name := range sortedKeys(c.Tables.Routes) {
		route := c.Tables.Routes[name]
		for _, s := range route.WeightedPools() {
			used[s.Pool] = true
			if s.Weight == 0 {
				out = append(out, c.finding(Note, Route, name, "split", "pool %s has weight 0 and gets no requests of this route", s.Pool))
			}
		}
	}
	for _, name := range sortedKeys(c.Tables.Pools) {
		if !used[name] {
			out = append(out, c.finding(Warning, Pool, name, "", "no route uses the pool"))
		}
	}
	return out
}

func (c *Configuration) keylessWorkspaces() []Finding {
	var out []Finding
	for _, name := range sortedKeys(c.Tables.Workspaces) {
		if len(c.Tables.Workspaces[name].Keys) == 0 {
			out = append(out, c.finding(Warning, Workspace, name, "key_digests", "the workspace has no keys, so that no caller can use it"))
		}
	}
	return out
}

// shadowedRoutes returns the routes all of whose requests other routes of the same
// prefix take first.
func (c *Configuration) shadowedRoutes() []Finding {
	byPrefix := map[string][]table.Route{}
	for _, name := range sortedKeys(c.Tables.Routes) {
		route := c.Tables.Routes[name]
		byPrefix[route.PathPrefix] = append(byPrefix[route.PathPrefix], route)
	}
	var out []Finding
	for _, prefix := range sortedKeys(byPrefix) {
		routes := byPrefix[prefix]
		// The order in which router.Compile tries them.
		slices.SortStableFunc(routes, func(a, b table.Route) int { return b.Specificity() - a.Specificity() })
		for i, route := range routes {
			if f, ok := c.shadowed(route, routes[:i]); ok {
				out = append(out, f)
			}
		}
	}
	return out
}

func (c *Configuration) shadowed(route table.Route, earlier []table.Route) (Finding, bool) {
	if takers, ok := takenBy(route, earlier, orOther(route.Methods)); ok {
		return c.finding(Warning, Route, route.Name, "path_prefix", "never matches; its requests go to %s first", describeTakers(takers)), true
	}
	if len(route.Methods) > 0 {
		return Finding{}, false
	}
	takers, ok := takenBy(route, earlier, table.Methods())
	return c.finding(Warning, Route, route.Name, "methods", "matches only methods that tables can't name, such as TRACE; others go to %s first",
		describeTakers(takers)), ok
}

// other stands for all values that no route names. It is no valid value itself.
const other = ""

// orOther returns the values that a list of a route matches. A list that matches
// all stands for the unnamed ones: what matches those matches all.
func orOther(values []string) []string { return lo.Ternary(len(values) == 0, []string{other}, values) }

// takenBy returns the earlier routes that take requests of a route with the given
// methods; ok is false if a request is left for the route.
func takenBy(route table.Route, earlier []table.Route, methods []string) (takers map[string]bool, ok bool) {
	takers = map[string]bool{}
	for _, caller := range orOther(route.Callers) {
		for _, method := range methods {
			i := slices.IndexFunc(earlier, func(e table.Route) bool {
				return (e.Host == "" || strings.EqualFold(e.Host, route.Host)) && includes(e.Callers, caller) && includes(e.Methods, method)
			})
			if i < 0 {
				return nil, false
			}
			takers[earlier[i].Name] = true
		}
	}
	return takers, true
}

func includes(list []string, value string) bool {
	return len(list) == 0 || slices.Contains(list, value)
}

func describeTakers(takers map[string]bool) string {
	return lo.Ternary(len(takers) == 1, "route ", "routes ") + strings.Join(sortedKeys(takers), ", ")
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
