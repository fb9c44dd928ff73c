package table

import (
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// Validate checks the consistency of both tables: routes name pools that exist,
// no request is matched by two routes of equal precedence, no key belongs to two
// workspaces, and the bounds on the numbers of pools, routes, targets and
// workspaces hold. file is the file name in the
// reported problems. The error is of type Problems.
func Validate(file string, t *Tables) error {
	p := &fileParser{file: file}
	for _, name := range sortedKeys(t.Routes) {
		route := t.Routes[name]
		checkPools(p, t, route)
		checkSplit(p, route)
		checkAccess(p, route)
	}
	checkWorkspaces(p, t.Workspaces)
	checkAmbiguous(p, t.Routes)
	checkBounds(p, t)
	return p.problems.orNil()
}

// checkPools checks that the pools of a route exist.
func checkPools(p *fileParser, t *Tables, route Route) {
	key := lo.Ternary(len(route.Split) == 0, "pool", "split")
	for _, weighted := range route.WeightedPools() {
		if _, ok := t.Pools[weighted.Pool]; !ok {
			p.addProblem(route.Name, key, weighted.Pool, "a pool that exists")
		}
	}
}

// checkSplit checks the weights of a route that splits its requests. A pool of
// weight 0 gets none, which is how a pool is added before it gets requests, or
// kept after its last one; some pool must get them.
func checkSplit(p *fileParser, route Route) {
	total := 0
	for _, s := range route.Split {
		if s.Weight < 0 || s.Weight > MaxWeight {
			p.addProblem(route.Name, "split", s.Pool+":"+strconv.Itoa(s.Weight), "a weight from 0 to "+strconv.Itoa(MaxWeight))
			return
		}
		total += s.Weight
	}
	if len(route.Split) > 0 && total == 0 {
		p.addProblem(route.Name, "split", "weights that are all 0", "a weight of 1 or more for at least one pool")
	}
}

// ValidatePoolDelete returns an error of type Problems when routes use the pool,
// so that it can't be deleted. file is the file name in the problem.
func ValidatePoolDelete(file string, t *Tables, pool string) error {
	users := lo.Filter(sortedKeys(t.Routes), func(name string, _ int) bool { return t.Routes[name].Uses(pool) })
	if len(users) == 0 {
		return nil
	}
	return Problems{{File: file, Section: pool, Found: "used by routes " + strings.Join(users, ", "),
		Expected: "a pool that no route uses"}}
}

func checkBounds(p *fileParser, t *Tables) {
	if len(t.Pools) > MaxPools {
		p.addProblem("", "", strconv.Itoa(len(t.Pools))+" pools", "at most "+strconv.Itoa(MaxPools))
	}
	if len(t.Routes) > MaxRoutes {
		p.addProblem("", "", strconv.Itoa(len(t.Routes))+" routes", "at most "+strconv.Itoa(MaxRoutes))
	}
	targets := lo.SumBy(lo.Values(t.Pools), func(p Pool) int { return len(p.Targets) })
	if targets > MaxTargets {
		p.addProblem("", "", strconv.Itoa(targets)+" targets", "at most "+strconv.Itoa(MaxTargets))
	}
}

// checkAmbiguous reports each route for which a route earlier in the order of
// names has the same prefix and specificity and matches some of the same
// requests. It names the first of these: the number of all pairs grows with the square
// of the number of routes.
func checkAmbiguous(p *fileParser, routes map[string]Route) {
	// Only routes of one host and prefix are compared: many hosts may share a prefix.
	type place struct{ host, prefix string }
	byPlace := make(map[place][]string, len(routes))
	for _, name := range sortedKeys(routes) {
		route := routes[name]
		at := place{route.Host, route.PathPrefix}
		for _, earlier := range byPlace[at] {
			other := routes[earlier]
			if other.Specificity() == route.Specificity() && matchSameRequest(other, route) {
				p.addProblem(name, "path_prefix", route.PathPrefix,
					"no request that route "+other.Name+" matches equally well")
				break
			}
		}
		byPlace[at] = append(byPlace[at], name)
	}
}

// matchSameRequest reports whether a request exists that both routes match,
// provided that their host, path prefix and specificity are equal.
func matchSameRequest(a, b Route) bool {
	return emptyOrShared(a.Callers, b.Callers) && emptyOrShared(a.Methods, b.Methods)
}

// emptyOrShared reports whether two lists of callers or methods match a common
// value. The routes have equal specificity: either both lists are empty, which
// matches all, or neither is.
func emptyOrShared(a, b []string) bool { return len(a) == 0 || lo.Some(a, b) }

// Specificity is the precedence of a route among those with the same path
// prefix; the highest wins. A route with a host is more specific than any
// without, then one with callers, then one with methods.
func (r Route) Specificity() int {
	const hostWeight, callersWeight, methodsWeight = 4, 2, 1
	return lo.Ternary(r.Host != "", hostWeight, 0) +
		lo.Ternary(len(r.Callers) > 0, callersWeight, 0) +
		lo.Ternary(len(r.Methods) > 0, methodsWeight, 0)
}
