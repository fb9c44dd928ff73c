package table

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Any is the value of callers and methods that matches all.
const Any = "*"

var (
	classes = []string{string(Lookup), string(Order), string(Batch)}
	methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// ParseRoutes reads a routes file: one section a route. The error is Problems
// and names every fault of the file. Whether the pools exist, and whether
// routes are ambiguous, is for Validate.
func ParseRoutes(file string, data []byte) (map[string]Route, error) {
	r := &reader{file: file}
	routes := map[string]Route{}
	for _, s := range r.sections(data) {
		routes[s.name] = readRoute(s)
	}
	return routes, r.problems.orNil()
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
	}
	if len(route.Split) == 0 {
		route.Pool = readPoolName(s)
	} else if v, ok := s.raw("pool"); ok {
		s.fault("pool", v, "either pool or split, not both")
	}
	if _, ok := s.required("path_prefix", pathRule); ok {
		route.PathPrefix = s.path("path_prefix")
	}
	route.Retries = s.integer("retries", lo.Ternary(route.Idempotent, DefaultRetries, 0), 0, MaxRetries)
	s.finish()
	checkRepeats(s, route)
	return route
}

// checkRepeats refuses second copies of requests that may run only once.
func checkRepeats(s *section, r Route) {
	const onlyIdempotent = "0, as a route without idempotent = true is sent at most once"
	if !r.Idempotent && r.Retries > 0 {
		s.fault("retries", s.values["retries"], onlyIdempotent)
	}
	if r.HedgeAfter <= 0 {
		return
	}
	switch {
	case !r.Idempotent:
		s.fault("hedge_after", s.values["hedge_after"], onlyIdempotent)
	case r.Class != Lookup:
		s.fault("hedge_after", s.values["hedge_after"], "0, as only routes of class lookup are hedged")
	}
}

func readMethods(s *section) []string {
	expected := Any + " or some of " + strings.Join(methods, ", ")
	items, ok := s.list("methods", expected, MaxListItems)
	if !ok || isAny(items) {
		return nil
	}
	for _, m := range items {
		if !lo.Contains(methods, m) {
			s.fault("methods", m, expected)
		}
	}
	return items
}

func readCallers(s *section) []string {
	expected := Any + " or caller names, comma separated"
	items, ok := s.list("callers", expected, MaxListItems)
	if !ok || isAny(items) {
		return nil
	}
	for _, c := range items {
		if !callerPattern.MatchString(c) {
			s.fault("callers", c, expected)
		}
	}
	return items
}

func isAny(items []string) bool { return len(items) == 1 && items[0] == Any }

func readHost(s *section) string {
	v, ok := s.raw("host")
	v = strings.ToLower(v)
	if ok && !hostPattern.MatchString(v) {
		s.fault("host", v, "a host name or IP number without a port")
	}
	return v
}

func readPoolName(s *section) string {
	v, ok := s.required("pool", "the name of a pool")
	if ok && !validName(v) {
		s.fault("pool", v, "the name of a pool")
	}
	return v
}

const splitRule = "POOL:WEIGHT, comma separated, with whole weights from 1"

// readSplit reads the pools that share a route's requests.
func readSplit(s *section) []Share {
	items, _ := s.list("split", splitRule, MaxSplit)
	var out []Share
	seen := map[string]bool{}
	for _, item := range items {
		pool, weight, _ := strings.Cut(item, ":")
		n, err := strconv.Atoi(weight)
		if !validName(pool) || err != nil || n < 1 || n > MaxWeight || seen[pool] {
			s.fault("split", item, splitRule+", each pool once")
			continue
		}
		seen[pool] = true
		out = append(out, Share{Pool: pool, Weight: n})
	}
	return out
}

func readClass(s *section) Class {
	expected := "one of " + strings.Join(classes, ", ")
	v, ok := s.required("class", expected)
	if ok && !lo.Contains(classes, v) {
		s.fault("class", v, expected)
	}
	return Class(v)
}
