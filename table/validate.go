package table

import (
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// Validate checks what the sections of both tables promise each other: routes
// name pools that exist, no two routes can claim one request with equal right,
// and the bounds on the whole hold. file names the file that a problem is
// reported for.
func Validate(file string, t *Tables) error {
	r := &reader{file: file}
	for _, name := range sortedKeys(t.Routes) {
		route := t.Routes[name]
		key := lo.Ternary(len(route.Split) == 0, "pool", "split")
		for _, share := range route.Shares() {
			if _, ok := t.Pools[share.Pool]; !ok {
				r.fault(name, key, share.Pool, "a pool that exists")
			}
		}
	}
	checkAmbiguous(r, t.Routes)
	checkBounds(r, t)
	return r.problems.orNil()
}

// ValidateDelete refuses to delete a pool that routes use. The error is
// Problems.
func ValidateDelete(file string, t *Tables, pool string) error {
	users := lo.Filter(sortedKeys(t.Routes), func(name string, _ int) bool { return t.Routes[name].Uses(pool) })
	if len(users) == 0 {
		return nil
	}
	return Problems{{File: file, Section: pool, Found: "used by routes " + strings.Join(users, ", "),
		Expected: "a pool that no route uses"}}
}

func checkBounds(r *reader, t *Tables) {
	if len(t.Pools) > MaxPools {
		r.fault("", "", strconv.Itoa(len(t.Pools))+" pools", "at most "+strconv.Itoa(MaxPools))
	}
	if len(t.Routes) > MaxRoutes {
		r.fault("", "", strconv.Itoa(len(t.Routes))+" routes", "at most "+strconv.Itoa(MaxRoutes))
	}
	targets := lo.SumBy(lo.Values(t.Pools), func(p Pool) int { return len(p.Targets) })
	if targets > MaxTargets {
		r.fault("", "", strconv.Itoa(targets)+" targets", "at most "+strconv.Itoa(MaxTargets))
	}
}

// checkAmbiguous reports each route that has an earlier one, in order of
// name, with the same prefix and specificity and a request that both match.
func checkAmbiguous(r *reader, routes map[string]Route) {
	byPrefix := map[string][]Route{}
	for _, name := range sortedKeys(routes) {
		route := routes[name]
		for _, other := range byPrefix[route.PathPrefix] {
			if other.Specificity() == route.Specificity() && overlap(other, route) {
				r.fault(name, "path_prefix", route.PathPrefix,
					"no request that route "+other.Name+" matches equally well")
			}
		}
		byPrefix[route.PathPrefix] = append(byPrefix[route.PathPrefix], route)
	}
}

func overlap(a, b Route) bool {
	return a.Host == b.Host && meet(a.Callers, b.Callers) && meet(a.Methods, b.Methods)
}

// meet is called for two routes of equal specificity: either both name values
// or neither does.
func meet(a, b []string) bool { return len(a) == 0 || lo.Some(a, b) }

// Specificity orders routes with the same path prefix: the higher wins. A
// route that names its host is more specific than one that does not, then one
// that names callers, then one that names methods.
func (r Route) Specificity() int {
	const hostWeight, callersWeight, methodsWeight = 4, 2, 1
	return lo.Ternary(r.Host != "", hostWeight, 0) +
		lo.Ternary(len(r.Callers) > 0, callersWeight, 0) +
		lo.Ternary(len(r.Methods) > 0, methodsWeight, 0)
}
