package table

import (
	"net/netip"
	"strings"
)

const targetRule = "IP:PORT@FAILURE_DOMAIN, comma separated"

// ParsePools reads a pools file: one section a pool. The error is Problems
// and names every fault of the file.
func ParsePools(file string, data []byte) (map[string]Pool, error) {
	r := &reader{file: file}
	pools := map[string]Pool{}
	for _, s := range r.sections(data) {
		pools[s.name] = readPool(s)
	}
	return pools, r.problems.orNil()
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
	}
	p.Policy, _ = s.raw("policy")
	if p.Policy != "" && !validPolicy(p.Policy) {
		s.fault("policy", p.Policy, "one of "+strings.Join(Policies, ", "))
	}
	s.finish()
	checkSource(s, p)
	return p
}

// checkSource demands exactly one of targets and service.
func checkSource(s *section, p Pool) {
	_, targets := s.values["targets"]
	_, service := s.values["service"]
	switch {
	case targets && service:
		s.fault("service", p.Service, "either targets or service, not both")
	case !targets && !service:
		s.fault("targets", "", "targets or service; one is required")
	case targets:
		checkDrain(s, p)
	}
}

// checkDrain demands that a drained address is one of the pool's targets.
func checkDrain(s *section, p Pool) {
	known := map[netip.AddrPort]bool{}
	for _, t := range p.Targets {
		known[t.Addr] = true
	}
	for _, a := range p.Drain {
		if len(p.Targets) > 0 && !known[a] {
			s.fault("drain", a.String(), "an address that targets lists")
		}
	}
}

func readTargets(s *section) []Target {
	items, ok := s.list("targets", targetRule, MaxPoolTargets)
	if !ok {
		return nil
	}
	var out []Target
	seen := map[netip.AddrPort]bool{}
	for _, item := range items {
		addr, domain, found := strings.Cut(item, "@")
		if !found || !validName(domain) {
			s.fault("targets", item, targetRule)
			continue
		}
		a, ok := s.addr("targets", addr)
		if !ok {
			continue
		}
		if seen[a] {
			s.fault("targets", item, "each address once")
		}
		seen[a] = true
		out = append(out, Target{Addr: a, FailureDomain: domain})
	}
	return out
}

func readService(s *section) string {
	v, ok := s.raw("service")
	if ok && !validName(v) {
		s.fault("service", v, "a service name of "+nameRule)
	}
	return v
}

func readDrain(s *section) []netip.AddrPort {
	if v, _ := s.raw("drain"); v == "" {
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
