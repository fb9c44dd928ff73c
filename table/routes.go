package table

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// MatchAll is the value of the keys callers and methods that matches all
// requests.
const MatchAll = "*"

var (
	classNames = []string{string(Lookup), string(Order), string(Batch)}
	methods    = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Methods returns the methods that a route may name.
func Methods() []string { return slices.Clone(methods) }

// ParseRoutes parses a routes file, an INI file with one section per route; the
// result is keyed by route name. The error is of type Problems and lists every
// problem in the file. Validate checks whether the pools exist and whether
// routes are ambiguous.
func ParseRoutes(file string, data []byte) (map[string]Route, error) {
	p := &fileParser{file: file}
	routes := map[string]Route{}
	for _, s := range p.sections(data) {
		routes[s.name] = readRoute(s)
	}
	return routes, p.problems.orNil()
}

func readRoute(s *section) Route {
	route := Route{
		Name:       s.name,
		Methods:    readMethods(s),
		Callers:    readCallers(s),
		Host:       readHost(s),
		Split:      readSplit(s),
		Class:      readClass(s),
		Idempotent: s.boolean("idempotent", false),
		Timeout:    s.duration("timeout", DefaultTimeout, time.Millisecond),
		HedgeAfter: s.duration("hedge_after", 0, 0),
		Rank:       s.integer("rank", 0, 0, MaxRank),
		Objective:  s.duration("objective", 0, 0),
		Public:     s.boolean("public", false),
		Upload:     s.boolean("upload", false),
		Regions:    readRegions(s),
	}
	if len(route.Split) == 0 {
		route.Pool = readPoolName(s)
	} else if v, ok := s.value("pool"); ok {
		s.addProblem("pool", v, "either pool or split, not both")
	}
	if _, ok := s.required("path_prefix", pathFormat); ok {
		route.PathPrefix = s.path("path_prefix")
	}
	route.Retries = s.integer("retries", lo.Ternary(route.Idempotent, DefaultRetries, 0), 0, MaxRetries)
	s.rejectUnknownKeys()
	checkRetriesAndHedging(s, route)
	return route
}

// checkRetriesAndHedging reports retries and hedging on routes that are not
// idempotent, whose requests may run only once, and hedging on routes of a class
// other than lookup.
func checkRetriesAndHedging(s *section, r Route) {
	const onlyIdempotent = "0, as a route without idempotent = true is sent at most once"
	if !r.Idempotent && r.Retries > 0 {
		s.addProblem("retries", s.values["retries"], onlyIdempotent)
	}
	if r.HedgeAfter <= 0 {
		return
	}
	switch {
	case !r.Idempotent:
		s.addProblem("hedge_after", s.values["hedge_after"], onlyIdempotent)
	case r.Class != Lookup:
		s.addProblem("hedge_after", s.values["hedge_after"], "0, as only routes of class lookup are hedged")
	}
}

func readMethods(s *section) []string {
	expected := MatchAll + " or some of " + strings.Join(methods, ", ")
	items, ok := s.list("methods", expected, MaxListItems)
	if !ok || isAny(items) {
		return nil
	}
	for _, m := range items {
		if !lo.Contains(methods, m) {
			s.addProblem("methods", m, expected)
		}
	}
	return items
}

func readCallers(s *section) []string {
	expected := MatchAll + " or caller names, comma separated"
	items, ok := s.list("callers", expected, MaxListItems)
	if !ok || isAny(items) {
		return nil
	}
	for _, c := range items {
		if !callerPattern.MatchString(c) {
			s.addProblem("callers", c, expected)
		}
	}
	return items
}

func isAny(items []string) bool { return len(items) == 1 && items[0] == MatchAll }

func readHost(s *section) string {
	v, ok := s.value("host")
	v = strings.ToLower(v)
	if ok && !hostPattern.MatchString(v) {
		s.addProblem("host", v, "a host name or IP number without a port")
	}
	return v
}

func readPoolName(s *section) string {
	v, ok := s.required("pool", "the name of a pool")
	if ok && !validName(v) {
		s.addProblem("pool", v, "the name of a pool")
	}
	return v
}

const splitFormat = "POOL:WEIGHT, comma separated, with whole weights from 1"

// readSplit reads the pools among which a route's requests are divided.
func readSplit(s *section) []WeightedPool {
	items, _ := s.list("split", splitFormat, MaxSplit)
	var out []WeightedPool
	seen := map[string]bool{}
	for _, item := range items {
		pool, weight, _ := strings.Cut(item, ":")
		n, err := strconv.Atoi(weight)
		if !validName(pool) || err != nil || n < 1 || n > MaxWeight || seen[pool] {
			s.addProblem("split", item, splitFormat+", each pool once")
			continue
		}
		seen[pool] = true
		out = append(out, WeightedPool{Pool: pool, Weight: n})
	}
	return out
}

func readClass(s *section) Class {
	expected := "one of " + strings.Join(classNames, ", ")
	v, ok := s.required("class", expected)
	if ok && !lo.Contains(classNames, v) {
		s.addProblem("class", v, expected)
	}
	return Class(v)
}
