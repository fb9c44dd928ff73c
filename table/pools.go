package table

import (
	"net/netip"
	"strings"
)

const targetFormat = "IP:PORT@FAILURE_DOMAIN, comma separated"

// ParsePools parses a pools file, an INI file with one section per pool; the
// result is keyed by pool name. The error is of type Problems and lists every
// problem in the file.
func ParsePools(file string, data []byte) (map[string]Pool, error) {
	p := &fileParser{file: file}
	pools := map[string]Pool{}
	for _, s := range p.sections(data) {
		pools[s.name] = readPool(s)
	}
	return pools, p.problems.orNil()
}

func readPool(s *section) Pool {
	p := Pool{
		Name:        s.name,
		Targets:     readTargets(s),
		Service:     readService(s),
		Drain:       readDrain(s),
		ProbeBudget: s.number("probe_budget", DefaultProbeBudget, MaxProbeBudget),
		LoadPath:    s.path("load_path"),
		HealthPath:  s.path("health_path"),
		Slots:       s.integer("slots", DefaultSlots, 1, MaxSlots),
		Connections: s.integer("connections", DefaultConnections, 1, MaxConnections),

		WarmupPerSecond: s.number("warmup_per_second", 0, MaxRate),
	}
	p.Policy, _ = s.value("policy")
	if p.Policy != "" && !validPolicy(p.Policy) {
		s.addProblem("policy", p.Policy, "one of "+strings.Join(Policies, ", "))
	}
	s.rejectUnknownKeys()
	checkTargetSource(s, p)
	return p
}

// checkTargetSource checks that the pool has exactly one of the keys targets
// and service.
func checkTargetSource(s *section, p Pool) {
	_, targets := s.values["targets"]
	_, service := s.values["service"]
	switch {
	case targets && service:
		s.addProblem("service", p.Service, "either targets or service, not both")
	case !targets && !service:
		s.addProblem("targets", "", "targets or service; one is required")
	case targets:
		checkDrain(s, p)
	}
}

// checkDrain checks that each drained address is one of the pool's targets.
func checkDrain(s *section, p Pool) {
	known := map[netip.AddrPort]bool{}
	for _, t := range p.Targets {
		known[t.Addr] = true
	}
	for _, a := range p.Drain {
		if len(p.Targets) > 0 && !known[a] {
			s.addProblem("drain", a.String(), "an address that targets lists")
		}
	}
}

func readTargets(s *section) []Target {
	items, ok := s.list("targets", targetFormat, MaxPoolTargets)
	if !ok {
		return nil
	}
	var out []Target
	seen := map[netip.AddrPort]bool{}
	for _, item := range items {
		addr, domain, found := strings.Cut(item, "@")
		if !found || !validName(domain) {
			s.addProblem("targets", item, targetFormat)
			continue
		}
		a, ok := s.addr("targets", addr)
		if !ok {
			continue
		}
		if seen[a] {
			s.addProblem("targets", item, "each address once")
		}
		seen[a] = true
		out = append(out, Target{Addr: a, FailureDomain: domain})
	}
	return out
}

func readService(s *section) string {
	v, ok := s.value("service")
	if ok && !validName(v) {
		s.addProblem("service", v, "a service name of "+nameFormat)
	}
	return v
}

func readDrain(s *section) []netip.AddrPort {
	if v, _ := s.value("drain"); v == "" {
		return nil
	}
	items, _ := s.list("drain", "IP:PORT, comma separated", MaxPoolTargets)
	var out []netip.AddrPort
	for _, item := range items {
		if a, ok := s.addr("drain", item); ok {
			out = append(out, a)
		}
	}
	return out
}
